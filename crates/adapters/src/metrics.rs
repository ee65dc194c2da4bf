//! Implements the metrics port for statsd with cadence.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use rosemaryscale_ports::metric::{GaugeFamily, MetricSink, Metrics};

const PREFIX: &str = "rosemaryscale";

/// Sends metrics to a statsd server.
struct Statsd {
    client: StatsdClient,
}

/// Creates a sink that sends to the statsd server at `address`; without an address, metrics are
/// discarded.
///
/// # Errors
///
/// Fails when no UDP socket can be opened.
pub fn open(address: Option<SocketAddr>) -> std::io::Result<Metrics> {
    let Some(address) = address else {
        return Ok(Arc::new(Statsd {
            client: StatsdClient::from_sink(PREFIX, NopMetricSink),
        }));
    };
    let local = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
    Ok(Arc::new(Statsd { client }))
}

impl MetricSink for Statsd {
    fn count(&self, name: &'static str, value: i64) {
        let _ = self.client.count(name, value);
    }

    fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    fn count_of(&self, name: &'static str, workspace: &Arc<str>, value: i64) {
        let _ = self.client.count(&name_of(name, workspace), value);
    }

    fn gauge_family(&self, family: GaugeFamily) {
        for (label, value) in family.values {
            let _ = self.client.gauge(&name_of(family.name, &label), value);
        }
    }

    fn time_ms(&self, name: &'static str, value_ms: u64) {
        let _ = self.client.time(name, value_ms);
    }
}

/// Name of the metric of a workspace, without characters that have a meaning in statsd.
fn name_of(name: &str, workspace: &str) -> String {
    let is_plain = |symbol: char| symbol.is_ascii_alphanumeric() || symbol == '-';
    let workspace = workspace.replace(|symbol| !is_plain(symbol), "_");
    format!("{name}.{workspace}")
}
