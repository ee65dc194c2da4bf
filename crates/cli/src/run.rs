//! Carries commands out.

use std::path::Path;

use http::Method;
use rosemaryscale_ports::fleet::PoolsReport;
use rosemaryscale_ports::operator::{
    Applied, ApplyRequest, CheckRequest, StatusReport, TimelineReport,
};
use snafu::ResultExt;
use uuid::Uuid;

use crate::cli::{Operation, Options};
use crate::client::{Client, ClientError, FileSnafu};
use crate::output;

/// Carries a command out and returns what to print.
///
/// # Errors
///
/// Fails when the daemon does not answer or refuses.
pub async fn run(client: &Client, options: &Options) -> Result<String, ClientError> {
    let json = options.json;
    match &options.operation {
        Operation::Check { file } => {
            let request = CheckRequest { text: read(file)? };
            let _: serde_json::Value = client
                .send(Method::POST, "/v1/document/check", &request)
                .await?;
            Ok(output::valid(&file.display().to_string(), json))
        }
        Operation::Apply {
            file,
            expected_version,
            author,
        } => {
            let request = ApplyRequest {
                text: read(file)?,
                change_id: Uuid::now_v7().to_string().into(),
                expected_version: *expected_version,
                author: author.clone(),
            };
            let applied: Applied = client.send(Method::PUT, "/v1/document", &request).await?;
            Ok(output::applied(&applied, json))
        }
        Operation::Status => {
            let report: StatusReport = client.get("/v1/status").await?;
            Ok(output::status(&report, json))
        }
        Operation::Pools => {
            let report: PoolsReport = client.get("/v1/pools").await?;
            Ok(output::pools(&report, json))
        }
        Operation::Fleet(operation) => {
            let _: serde_json::Value = client.send(Method::POST, "/v1/fleet", operation).await?;
            Ok(output::fleet(operation, json))
        }
        Operation::Timeline => {
            let report: TimelineReport = client.get("/v1/timeline").await?;
            Ok(output::timeline(&report, json))
        }
    }
}

fn read(path: &Path) -> Result<String, ClientError> {
    std::fs::read_to_string(path).context(FileSnafu {
        path: path.display().to_string(),
    })
}
