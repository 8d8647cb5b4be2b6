//! Stable hashes: every node and every release computes the same values.

use crate::number::ShardId;

/// The number of shards.
///
/// All nodes must use the same number, so it is a constant instead of a setting: two nodes with different
/// numbers could both own the same key. 256 shards distribute the ownership over most of the 380 nodes of the
/// target deployment, while claiming every shard once costs only 256 appends to the log.
pub const SHARD_COUNT: u16 = 256;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a string to 64 bits, with the same result on every node and in every release.
///
/// The standard library's hasher may change between compiler versions, which would reassign every shard on
/// an upgrade.
#[must_use]
pub fn stable_hash(text: &str) -> u64 {
    let fnv = text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(fnv)
}

/// Returns the rendezvous weight of `candidate` for `key`. The candidate with the
/// highest weight wins.
///
/// # Examples
///
/// ```
/// use sesamecart_vocabulary::rendezvous_weight;
///
/// let nodes = ["n1", "n2", "n3"];
/// let owner = nodes.iter().max_by_key(|node| rendezvous_weight("shard-7", node));
/// assert!(owner.is_some());
/// ```
#[must_use]
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    rendezvous_weight_of(stable_hash(key), stable_hash(candidate))
}

/// Returns the rendezvous weight for a key and a candidate that are already hashed.
///
/// A caller that computes the weights of many pairs can hash each name once with [`stable_hash`] instead of
/// once per pair.
#[must_use]
pub const fn rendezvous_weight_of(key: u64, candidate: u64) -> u64 {
    mix(key ^ candidate.rotate_left(31))
}

impl ShardId {
    /// Returns the shard of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let shard = stable_hash(name) % u64::from(SHARD_COUNT);
        Self(u16::try_from(shard).expect("a remainder by a u16 fits a u16"))
    }
}

/// Distributes nearby values over all 64 bits (the finalizer of SplitMix64).
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
