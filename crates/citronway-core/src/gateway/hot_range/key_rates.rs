//! Estimated load of each key of a hot range, from few requests.
//!
//! When a range of 200 keys is divided after 0.2 s, each key has had less than one request. The
//! keys of a hot range are requested about equally often, so the load of a key is estimated from
//! those around it, except for keys that clearly have more.

use crate::gateway::leader::Span;

/// Number of requests around a key that its estimate is based on: it is then off by 16 %.
const WANTED_REQUESTS: f64 = 40.0;

/// Maximum distance of the keys that an estimate is based on.
const MAX_DISTANCE: usize = 32;

/// Minimum part of the variance of the counts that is taken for a difference between keys; the rest
/// is chance.
const MIN_DIFFERENCE: f64 = 0.1;

/// Multiple of the average distance between requested keys above which a gap ends the hot part of
/// a range.
const GAP_FACTOR: f64 = 6.0;

/// Number of standard errors by which the count of a key must exceed the average count to be
/// estimated on its own; [`ALONE_REQUESTS`] are added.
const ALONE_ERRORS: f64 = 4.0;

/// Number of requests, in addition to [`ALONE_ERRORS`].
const ALONE_REQUESTS: f64 = 4.0;

/// Estimates the load of each key of a span in requests a second, from the number of requests of
/// each key. All together have `per_s`.
pub(super) fn estimate(counts: &[f64], per_s: f64) -> Vec<f64> {
    let total = counts.iter().sum::<f64>();
    if total <= 0.0 {
        return vec![0.0; counts.len()];
    }
    let (first, last) = hot_part(counts);
    let hot = &counts[first..=last];
    let alone = requested_alone(hot);
    let weight = weight_of_average(hot, &alone);
    let mut rates = vec![0.0; counts.len()];
    for i in 0..hot.len() {
        rates[first + i] = if alone[i] {
            hot[i]
        } else {
            let around = mean_around(hot, &alone, i);
            weight.mul_add(around, hot[i]) / (weight + 1.0)
        };
    }
    let outside = counts.len() - hot.len();
    if outside > 0 {
        let each = (total - hot.iter().sum::<f64>()) / outside as f64;
        rates[..first].fill(each);
        rates[last + 1..].fill(each);
    }
    let sum = rates.iter().sum::<f64>();
    for rate in &mut rates {
        *rate *= per_s / sum;
    }
    rates
}

/// Number of requests of each key of a span.
pub(super) fn count(span: Span, keys: impl Iterator<Item = u16>) -> Vec<f64> {
    let mut counts = vec![0.0; usize::from(span.last - span.first) + 1];
    for key in keys.filter(|key| (span.first..=span.last).contains(key)) {
        counts[usize::from(key - span.first)] += 1.0;
    }
    counts
}

/// First and last key of the part that has most requests: single requests beyond a wide gap at
/// either end are left out.
fn hot_part(counts: &[f64]) -> (usize, usize) {
    let requested: Vec<_> = (0..counts.len()).filter(|i| counts[*i] > 0.0).collect();
    let (mut from, mut to) = (0, requested.len() - 1);
    while from < to {
        let usual = (requested[to] - requested[from]) as f64 / (to - from) as f64;
        let before = requested[from + 1] - requested[from];
        let after = requested[to] - requested[to - 1];
        if before.max(after) as f64 <= GAP_FACTOR * usual.max(1.0) {
            break;
        }
        if before >= after {
            from += 1;
        } else {
            to -= 1;
        }
    }
    (requested[from], requested[to])
}

/// Which keys clearly have more requests than the others.
fn requested_alone(counts: &[f64]) -> Vec<bool> {
    let total = counts.iter().sum::<f64>();
    let others = (counts.len() - 1).max(1) as f64;
    let is_alone = |count: &f64| {
        let mean = (total - count) / others;
        *count > mean + ALONE_ERRORS.mul_add(mean.sqrt(), ALONE_REQUESTS)
    };
    counts.iter().map(is_alone).collect()
}

/// Weight of the average count of the keys around a key, relative to the key's own count.
///
/// It is that of the best estimate if the loads of keys differ by a gamma distribution: the less
/// the counts vary beyond chance, the less is a key's own count worth.
fn weight_of_average(counts: &[f64], alone: &[bool]) -> f64 {
    let usual = || counts.iter().zip(alone).filter(|(_, alone)| !**alone);
    let keys = usual().count().max(1) as f64;
    let mean = usual().map(|(count, _)| count).sum::<f64>() / keys;
    let variance = usual()
        .map(|(count, _)| (count - mean).powi(2))
        .sum::<f64>()
        / keys;
    if mean <= 0.0 {
        return 0.0;
    }
    mean / (variance - mean).max(MIN_DIFFERENCE * mean)
}

/// Average count of the keys around key `i`, which are taken from further away until they have
/// enough requests.
fn mean_around(counts: &[f64], alone: &[bool], i: usize) -> f64 {
    let (mut sum, mut keys) = (counts[i], 1.0);
    for distance in 1..=MAX_DISTANCE {
        if sum >= WANTED_REQUESTS {
            break;
        }
        let before = i.checked_sub(distance);
        let after = Some(i + distance).filter(|at| *at < counts.len());
        for at in before.into_iter().chain(after) {
            if alone[at] {
                continue;
            }
            sum += counts[at];
            keys += 1.0;
        }
    }
    sum / keys
}
