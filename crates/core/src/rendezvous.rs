//! Rendezvous hashing: every node ranks the same candidates in the same order, and adding or
//! removing a candidate does not change the order of the others.

/// Returns the score of a candidate for a purpose; the highest score ranks first.
#[must_use]
pub fn score(purpose: &[u8], candidate: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(purpose.len() as u64).to_le_bytes());
    hasher.update(purpose);
    hasher.update(candidate);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the `count` candidates with the highest scores, in descending order.
pub fn rank<T, F>(
    purpose: &[u8],
    candidates: impl IntoIterator<Item = T>,
    name: F,
    count: usize,
) -> Vec<T>
where
    F: Fn(&T) -> &str,
{
    let mut scored: Vec<(u64, T)> = candidates
        .into_iter()
        .map(|candidate| (score(purpose, name(&candidate).as_bytes()), candidate))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(&a.1).cmp(name(&b.1))));
    scored.truncate(count);
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}
