//! Runs upstream stand-ins in one process until SIGTERM or SIGINT:
//! `upstream <delay in ms> <slots> <name>=<address>...`.

use std::time::Duration;

use rosemaryscale_standins::Upstream;
use rosemaryscale_standins::upstream::UpstreamOptions;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let usage = "usage: upstream <delay in ms> <slots> <name>=<address>...";
    let delay_ms: u64 = arguments.next().ok_or(usage)?.parse()?;
    let slots: u32 = arguments.next().ok_or(usage)?.parse()?;
    let mut upstreams = Vec::new();
    for argument in arguments {
        let (name, address) = argument.split_once('=').ok_or(usage)?;
        let default_delay = Duration::from_millis(delay_ms);
        let options = UpstreamOptions {
            name: name.into(),
            slots,
            default_delay,
        };
        upstreams.push(Upstream::start(address.parse()?, options).await?);
    }
    println!("{} upstream stand-ins are running", upstreams.len());
    rosemaryscale_standins::shutdown_signal().await?;
    for upstream in upstreams {
        upstream.stop().await;
    }
    Ok(())
}
