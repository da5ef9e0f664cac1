//! Which instance challenges first. Rendezvous hashing spreads the scopes evenly over the
//! instances, and an instance that comes or goes changes the order for few of them.

use crate::InstanceId;

/// The place of `instance` among `members` in the order in which they challenge for `scope`; the
/// first is 0. An instance that is not listed comes last.
pub fn rank(scope: &str, instance: &str, members: &[InstanceId]) -> u32 {
    if !members.iter().any(|member| member == instance) {
        return u32::try_from(members.len()).unwrap_or(u32::MAX);
    }
    let own = (weight(scope, instance), instance);
    let before = members
        .iter()
        .filter(|member| (weight(scope, member), member.as_str()) > own);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

fn weight(scope: &str, instance: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    // The length keeps ("ab", "c") and ("a", "bc") apart.
    hasher.update(&(scope.len() as u64).to_be_bytes());
    hasher.update(scope.as_bytes());
    hasher.update(instance.as_bytes());
    *hasher.finalize().as_bytes()
}
