//! Max-min fair division.

/// Divides `total` among `demands`: nobody gets more than its demand, and nobody gets less than
/// another one whose demand is met with more. Odd units go to the demands from `first` on.
#[must_use]
pub fn fair_targets(demands: &[u32], total: u32, first: usize) -> Vec<u32> {
    let mut targets = vec![0; demands.len()];
    let mut left = total;
    let mut progress = true;
    while left > 0 && progress {
        progress = false;
        for offset in 0..demands.len() {
            let index = (first + offset) % demands.len();
            if left > 0 && targets[index] < demands[index] {
                targets[index] += 1;
                left -= 1;
                progress = true;
            }
        }
    }
    targets
}
