//! The parts of a pool, each with a dispatcher of its own.

use sesamecart_vocabulary::{EndpointId, ModelId, ServiceId, stable_hash};

#[cfg(test)]
mod tests;

/// The largest number of endpoints that one dispatcher handles. With more, its messages exceed what a small node
/// can process.
const MAX_HEADS_PER_PART: usize = 32;

/// A part of the requests for one model of a service, and of the endpoints that serve them.
#[derive(Clone, Debug, derive_more::Display, Eq, Hash, PartialEq)]
#[display("{service}/{model}/{part}")]
pub struct PoolPart {
    /// The service.
    pub service: ServiceId,
    /// The model.
    pub model: ModelId,
    /// The index of the part.
    pub part: u32,
}

/// Returns the number of parts of a pool with `heads` open groups.
#[must_use]
pub fn part_count(heads: usize) -> u32 {
    let parts = heads.div_ceil(MAX_HEADS_PER_PART).max(1);
    u32::try_from(parts).unwrap_or(u32::MAX)
}

/// Returns the index of the part that a head belongs to.
#[must_use]
pub fn part_of(head: &EndpointId, parts: u32) -> u32 {
    let part = stable_hash(head.as_str()) % u64::from(parts.max(1));
    u32::try_from(part).unwrap_or_default()
}

/// Chooses the parts that a request is offered to, the second one in case the first one is full. Parts are drawn
/// in proportion to their heads. `rng` returns random numbers between 0 and 1.
pub fn choose_parts(heads_of_parts: &[usize], mut rng: impl FnMut() -> f64) -> Vec<u32> {
    let mut weights = heads_of_parts.to_vec();
    let mut chosen = Vec::new();
    while chosen.len() < MAX_OFFERS {
        let Some(part) = draw(&weights, rng()) else {
            break;
        };
        weights[part] = 0;
        chosen.extend(u32::try_from(part));
    }
    chosen
}

/// The number of parts that a request is offered to.
const MAX_OFFERS: usize = 2;

/// Returns an index with a probability in proportion to its weight, or `None` if all weights are zero.
fn draw(weights: &[usize], random: f64) -> Option<usize> {
    let total: usize = weights.iter().sum();
    let mut rest = (random * total as f64) as usize;
    weights.iter().position(|weight| {
        let is_drawn = rest < *weight;
        rest = rest.saturating_sub(*weight);
        is_drawn
    })
}
