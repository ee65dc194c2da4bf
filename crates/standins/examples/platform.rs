//! Runs the platform stand-in until SIGTERM or SIGINT: `platform <address>`.

use rosemaryscale_standins::Platform;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let address = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:0".into());
    let platform = Platform::start(address.parse()?).await?;
    println!("the platform stand-in listens on {}", platform.address());
    rosemaryscale_standins::shutdown_signal().await?;
    platform.stop().await;
    Ok(())
}
