//! Max-min fair allocation.

/// Splits `total` among `demands` by max-min fairness: no demand gets more than it asks for, and an
/// unmet demand gets at most one unit less than any other. Leftover units go to the demands from
/// index `start` on.
#[must_use]
pub fn fair_targets(demands: &[u32], total: u32, start: usize) -> Vec<u32> {
    let mut targets = vec![0; demands.len()];
    let mut remaining = total;
    let mut progressed = true;
    while remaining > 0 && progressed {
        progressed = false;
        for offset in 0..demands.len() {
            let index = (start + offset) % demands.len();
            if remaining > 0 && targets[index] < demands[index] {
                targets[index] += 1;
                remaining -= 1;
                progressed = true;
            }
        }
    }
    targets
}
