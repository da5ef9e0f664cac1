//! The order in which instances challenge for a scope. Rendezvous hashing spreads the scopes evenly
//! over the instances, and an instance that joins or leaves changes the first rank of few scopes.

use crate::InstanceId;

/// The rank of `instance` among `members` for `scope`, starting at 0. An instance that is not a
/// member ranks last.
pub fn rank(scope: &str, instance: &str, members: &[InstanceId]) -> u32 {
    if !members.iter().any(|member| member == instance) {
        return u32::try_from(members.len()).unwrap_or(u32::MAX);
    }
    let own = (weight(scope, instance), instance);
    let ahead = members
        .iter()
        .filter(|member| (weight(scope, member), member.as_str()) > own);
    u32::try_from(ahead.count()).unwrap_or(u32::MAX)
}

fn weight(scope: &str, instance: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    // The length prefix distinguishes ("ab", "c") from ("a", "bc").
    hasher.update(&(scope.len() as u64).to_be_bytes());
    hasher.update(scope.as_bytes());
    hasher.update(instance.as_bytes());
    *hasher.finalize().as_bytes()
}
