//! Starts dropshot servers.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder, ServerContext,
};
use slog::{Level, LevelFilter, Logger, o};
use snafu::{ResultExt, Snafu};

/// Why a server did not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ServerError {
    /// The description of the API is inconsistent.
    #[snafu(display("the API description is inconsistent: {reason}; report this as a defect"))]
    Describe {
        /// What is inconsistent.
        reason: String,
    },
    /// The server cannot listen on the address.
    #[snafu(display("cannot listen on {address}: {source}; set a free address of this instance"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Description of the failure.
        source: dropshot::BuildError,
    },
}

/// Starts a server. A handler is cancelled when its caller disconnects.
pub(crate) fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
    body_max_bytes: usize,
    log: &Logger,
) -> Result<HttpServer<C>, ServerError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: body_max_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, errors_only(log))
        .config(config)
        .start()
        .context(ListenSnafu { address })
}

/// Returns a logger that passes on errors only: dropshot logs each request at level info, which is
/// too much at a high request rate.
fn errors_only(log: &Logger) -> Logger {
    let drain = slog::Fuse(LevelFilter::new(log.clone(), Level::Error));
    Logger::root(drain, o!())
}
