//! Statistical bounds on failure rates and latency.

/// Minimum number of attempts of the old version for a comparison with it; below it only the
/// service's limit applies.
pub const MIN_COMPARED_ATTEMPTS: u32 = 8;

/// Ratio to the old version's mean latency from which the new version is slow.
pub const SLOW_FACTOR: f64 = 2.0;

/// Mean latency up to which no version counts as slow, in milliseconds.
pub const SLOW_FLOOR_MS: f64 = 50.0;

/// Tail probabilities below this value are not computed exactly; no threshold is that low.
const NEGLIGIBLE_PROBABILITY: f64 = 1e-12;

/// Returns the probability of at least `failures` failures in `attempts`
/// attempts at the failure rate `rate`.
#[must_use]
pub fn binomial_tail(attempts: u32, failures: u32, rate: f64) -> f64 {
    if failures == 0 || rate >= 1.0 {
        return 1.0;
    }
    let (count, hits) = (f64::from(attempts), f64::from(failures.min(attempts)));
    let observed = hits / count;
    if observed <= rate {
        return 1.0;
    }
    let rate = rate.max(f64::MIN_POSITIVE);
    // The Chernoff bound is cheap to compute and settles the clear cases.
    let upper_bound = (-count * kl_divergence(observed, rate)).exp();
    if upper_bound < NEGLIGIBLE_PROBABILITY {
        return upper_bound;
    }
    let mut log_term = hits * rate.ln() + (count - hits) * (1.0 - rate).ln();
    for index in 1..=failures.min(attempts) {
        let index = f64::from(index);
        log_term += ((count - hits + index) / index).ln();
    }
    let mut term = log_term.exp();
    let mut sum = term;
    for index in failures..attempts {
        let index = f64::from(index);
        term *= (count - index) / (index + 1.0) * rate / (1.0 - rate);
        sum += term;
        if term < sum * 1e-9 {
            break;
        }
    }
    sum.min(1.0)
}

/// Kullback-Leibler divergence of two Bernoulli distributions with these rates.
fn kl_divergence(observed: f64, rate: f64) -> f64 {
    let hit = observed * (observed / rate).ln();
    let miss = 1.0 - observed;
    if miss <= 0.0 {
        hit
    } else {
        hit + miss * (miss / (1.0 - rate)).ln()
    }
}

/// Returns the failure rate that is tolerated for the new version: the limit or, if higher, the
/// rate of the old version in the same window plus one standard error.
#[must_use]
pub fn tolerated_rate(limit_permille: u16, old_attempts: u32, old_failures: u32) -> f64 {
    let limit = f64::from(limit_permille) / 1000.0;
    if old_attempts < MIN_COMPARED_ATTEMPTS {
        return limit;
    }
    let count = f64::from(old_attempts);
    let rate = (f64::from(old_failures) + 0.5) / (count + 1.0);
    let error = (rate * (1.0 - rate).max(0.0) / count).sqrt();
    if old_failures == 0 {
        return limit;
    }
    limit.max(rate + error)
}

/// Converts a sum to a floating-point number.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "sums of milliseconds stay far below 2^52 within a move"
)]
pub fn to_float(value: u64) -> f64 {
    value as f64
}
