//! Incremental update of the internet checksum, RFC 1624.

/// Returns the new value of `checksum` after the bytes `old`, which it covers, are replaced by `new`.
///
/// Both slices must have the same, even length.
pub(crate) fn update(checksum: u16, old: &[u8], new: &[u8]) -> u16 {
    let mut sum = u32::from(!checksum);
    for word in old.chunks_exact(2) {
        sum += u32::from(!u16::from_be_bytes([word[0], word[1]]));
    }
    for word in new.chunks_exact(2) {
        sum += u32::from(u16::from_be_bytes([word[0], word[1]]));
    }
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}
