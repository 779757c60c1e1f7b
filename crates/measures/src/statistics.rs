//! Summary statistics of samples.

/// Returns the nearest-rank percentile: the smallest sample that at least `percent` percent of all
/// samples do not exceed; 0 without samples.
pub fn percentile(samples: &[u64], percent: usize) -> u64 {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted.get(rank - 1).copied().unwrap_or(0)
}
