//! Rendezvous hashing: the candidate with the highest score for a key is chosen.

/// Hashes two numbers into one that is uniformly distributed if either is (the finalizer of
/// SplitMix64).
pub fn mix(key: u64, seed: u64) -> u64 {
    let mut value = key ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The score of a candidate with `seed` for `key`, where all candidates have the same weight.
pub fn score(key: u64, seed: u64) -> u64 {
    mix(mix(key, 0), seed)
}

/// The score of a candidate with `seed` and `weight` for `key`.
///
/// The share of keys that a candidate wins is proportional to its weight.
pub fn weighted_score(key: u64, seed: u64, weight: u32) -> f64 {
    const UNIT: f64 = 1.0 / (1u64 << 53) as f64;
    // The top 53 bits, the precision of an `f64`; the half keeps the logarithm's argument above 0.
    let uniform = ((score(key, seed) >> 11) as f64 + 0.5) * UNIT;
    -f64::from(weight) / uniform.ln()
}
