//! Read-only view of the scheduler for the placement policies.
//!
//! The order of ready steps ([`super::rank`]) and the choice of a worker ([`super::choice`]) see only this
//! view and return decisions; [`super::place`] carries them out.

use super::advice::Advice;
use super::copies::Copies;
use super::durations::Durations;
use super::job_table::JobTable;
use super::order::StepKey;
use super::quota::UnseenUse;
use super::run_table::RunTable;
use super::share::Shares;
use super::speed::Speeds;
use super::worker::Worker;
use super::workspace_table::WorkspaceTable;
use super::{Service, UnevenWork};
use crate::placement::Resources;
use crate::prelude::*;

/// State that placement decisions depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementView<'a> {
    pub job_table: &'a JobTable,
    pub runs: &'a RunTable,
    pub workers: &'a SlotMap<WorkerKey, Worker>,
    pub services: &'a SlotMap<ServiceKey, Service>,
    pub workspaces: &'a WorkspaceTable,
    pub shares: &'a Shares,
    pub unseen_use: &'a UnseenUse,
    pub advice: &'a Advice,
    pub durations: &'a Durations,
    pub speeds: &'a Speeds,
    pub copies: &'a Copies,
    pub uneven_work: UnevenWork,
    /// Whether another daemon may have become the leader.
    pub leadership_unconfirmed: bool,
    pub now: Millis,
}

impl PlacementView<'_> {
    pub(super) fn step_need(&self, step: StepKey) -> Option<Resources> {
        let job = self.job_table.jobs.get(step.job)?;
        Some(job.step(step.step)?.need())
    }
}
