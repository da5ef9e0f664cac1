//! Hashes that all instances compute alike.

use serving::hash::combined_unit_interval;

/// Guards against ties between engines that a hash breaks in favour of the same few.
#[test]
fn combined_hashes_depend_on_both_and_are_spread_evenly() {
    let mut quarters = [0_u32; 4];
    for first in 0..40 {
        for second in 0..100 {
            let unit = combined_unit_interval(first, second);
            assert!((0.0..=1.0).contains(&unit));
            quarters[((unit * 4.0) as usize).min(3)] += 1;
        }
    }
    assert!(
        quarters.iter().all(|count| (900..1_100).contains(count)),
        "{quarters:?}"
    );
    assert_ne!(combined_unit_interval(1, 2), combined_unit_interval(2, 1));
}
