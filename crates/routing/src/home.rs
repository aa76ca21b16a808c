//! Rendezvous hashing: all nodes rank the replicas for a prefix alike without communication. The
//! replicas ranked highest are the home replicas of the prefix.

use topazmount_types::ReplicaId;

/// Weight of a replica for a key. Losing a replica moves only the keys whose home it was.
#[inline]
pub fn rendezvous_weight(key: u64, replica: ReplicaId) -> u64 {
    // Finalizer of SplitMix64 (Steele, Lea, Flood 2014) over the pair.
    let mut mixed = key ^ replica.0.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
