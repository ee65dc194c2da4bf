//! Reports of accepted documents for operators.

use std::sync::Arc;

use rosemaryscale_domain::Document;
use rosemaryscale_domain::document::{Accepted, Problem};
use rosemaryscale_ports::config::ApplyError;
use rosemaryscale_ports::operator::{EnvironmentReport, EnvironmentsReport, HistoryReport};
use tokio::task::JoinSet;

use super::change::Operations;
use crate::config_record::ConfigKeys;

impl Operations {
    /// Returns the accepted changes, newest first.
    pub(super) async fn history(&self) -> Result<HistoryReport, ApplyError> {
        let changes = self
            .read_history()
            .await
            .map_err(|error| ApplyError::Unavailable {
                reason: error.to_string(),
            })?;
        Ok(HistoryReport {
            environment: Arc::clone(&self.environment),
            changes,
        })
    }

    /// Returns the newest change of each environment of the document in force, with the daemon's own
    /// environment first.
    pub(super) async fn environments(
        &self,
        document: Option<Arc<Document<Accepted>>>,
    ) -> EnvironmentsReport {
        let mut names = vec![Arc::clone(&self.environment)];
        if let Some(document) = document {
            let others = document.fields.environments.keys();
            names.extend(others.filter(|name| **name != self.environment).cloned());
        }
        let mut reads = JoinSet::new();
        for (position, name) in names.into_iter().enumerate() {
            let operations = self.clone();
            reads.spawn(async move { (position, operations.environment_report(name).await) });
        }
        let mut reports = reads.join_all().await;
        reports.sort_by_key(|(position, _)| *position);
        EnvironmentsReport {
            environments: reports.into_iter().map(|(_, report)| report).collect(),
        }
    }

    async fn environment_report(&self, environment: Arc<str>) -> EnvironmentReport {
        let (change, reason) = match self.read_document(&ConfigKeys::new(&environment)).await {
            Ok(Some((_, record))) => (Some(record.change), String::new()),
            Ok(None) => (None, "no document is accepted".to_owned()),
            Err(error) => (None, error.to_string()),
        };
        EnvironmentReport {
            environment,
            change,
            reason,
        }
    }
}

/// Returns the problems found when a document was validated.
pub(super) fn problems(error: ApplyError) -> Vec<Problem> {
    match error {
        ApplyError::Invalid { problems } => problems,
        other => vec![Problem {
            path: "document".into(),
            reason: other.to_string(),
            remedy: "check it again".into(),
        }],
    }
}
