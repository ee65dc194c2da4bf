//! A bounded, decaying distribution of ratios of actual to declared run time.

/// Buckets in a doubling of the ratio: a bucket is 9% wide, well below the differences between tasks of a step.
const BUCKETS_PER_DOUBLING: f32 = 8.0;
/// Doublings below a ratio of 1 that have buckets of their own.
const DOUBLINGS_BELOW: f32 = 4.0;
/// Buckets for ratios from 1/16 to 64; ratios outside count at the ends.
const BUCKETS: usize = 80;
/// Sum of weights at which all are halved, so that older observations count less.
const WEIGHT_MAX: f32 = 256.0;
/// Weight above a ratio from which on the distribution says how long such runs last.
const EXCESS_WEIGHT_MIN: f32 = 0.5;

/// Weights of ratios in logarithmic buckets.
#[derive(Clone, Debug)]
pub(super) struct Ratios {
    weights: [f32; BUCKETS],
    weight: f32,
    median: f32,
    mean: f32,
}

impl Default for Ratios {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            weight: 0.0,
            median: 1.0,
            mean: 1.0,
        }
    }
}

impl Ratios {
    /// Adds the ratio of a run that has ended.
    pub(super) fn add(&mut self, ratio: f32) {
        self.weights[bucket(ratio)] += 1.0;
        self.update();
    }

    /// Adds a run of which only a lower bound is known. Its weight goes to the longer runs in proportion to
    /// theirs, and to the next bucket if there are none.
    pub(super) fn add_censored(&mut self, ratio: f32) {
        let first = (bucket(ratio) + 1).min(BUCKETS - 1);
        let longer: f32 = self.weights[first..].iter().sum();
        if longer > 0.0 {
            for weight in &mut self.weights[first..] {
                *weight += *weight / longer;
            }
        } else {
            self.weights[first] += 1.0;
        }
        self.update();
    }

    /// Number of observations, where older ones count less.
    pub(super) const fn weight(&self) -> f32 {
        self.weight
    }

    pub(super) const fn median(&self) -> f32 {
        self.median
    }

    pub(super) const fn mean(&self) -> f32 {
        self.mean
    }

    /// Expected excess of a ratio over a value that it exceeds; `None` if no such ratio was seen.
    pub(super) fn mean_excess(&self, above: f32) -> Option<f32> {
        let (weight, excess) = self
            .weights
            .iter()
            .enumerate()
            .map(|(index, weight)| (value(index) - above, *weight))
            .filter(|(excess, _)| *excess > 0.0)
            .fold((0.0, 0.0), |(sum, total), (excess, weight)| {
                (sum + weight, total + weight * excess)
            });
        (weight >= EXCESS_WEIGHT_MIN).then(|| excess / weight)
    }

    fn update(&mut self) {
        self.weight = self.weights.iter().sum();
        if self.weight > WEIGHT_MAX {
            for weight in &mut self.weights {
                *weight /= 2.0;
            }
            self.weight /= 2.0;
        }
        let mut below = 0.0;
        let half = self.weight / 2.0;
        let median = self.weights.iter().position(|weight| {
            below += weight;
            below >= half
        });
        self.median = median.map_or(1.0, value);
        let values = self.weights.iter().enumerate();
        let total: f32 = values.map(|(index, weight)| value(index) * weight).sum();
        self.mean = total / self.weight.max(f32::MIN_POSITIVE);
    }
}

fn bucket(ratio: f32) -> usize {
    let position = (ratio.max(f32::MIN_POSITIVE).log2() + DOUBLINGS_BELOW) * BUCKETS_PER_DOUBLING;
    // Negative positions become 0.
    (position as usize).min(BUCKETS - 1)
}

/// Middle of a bucket.
fn value(index: usize) -> f32 {
    ((index as f32 + 0.5) / BUCKETS_PER_DOUBLING - DOUBLINGS_BELOW).exp2()
}
