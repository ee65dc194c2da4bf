//! Conditions of a schedule that are not drawn from its seed.

/// What may happen in a schedule, and how often.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// Probability of a cancellation, for each tick.
    pub(super) cancels_per_mille: u32,
    /// A cancellation affects one of the last jobs, up to this number.
    pub(super) cancelled_among_last: usize,
    /// Share of runs that take longer than a run of a cancelled job may last.
    pub(super) long_runs_percent: u32,
}

impl Conditions {
    /// Short runs, and a few cancellations, mostly of jobs that have ended.
    pub(crate) const SHORT_RUNS: Self = Self {
        cancels_per_mille: 2,
        cancelled_among_last: usize::MAX,
        long_runs_percent: 0,
    };

    /// Frequent cancellations of jobs with long runs.
    pub(crate) const CANCELLATIONS: Self = Self {
        cancels_per_mille: 8,
        cancelled_among_last: 3,
        long_runs_percent: 30,
    };
}
