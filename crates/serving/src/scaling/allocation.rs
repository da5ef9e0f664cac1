//! Divides a number of reclaimable engines among the data centres: more where they are cheaper, but
//! never so many in one data centre that its loss leaves too few.

use std::cmp::Ordering;

use crate::Zone;

/// Least part of its proportional share that a data centre keeps: a fifth of all if there are
/// three alike.
const MIN_PART: f64 = 0.6;
/// Largest part of its proportional share that a data centre gets: 0.45 of all if there are three
/// alike. The loss of a data centre that holds more costs more than the lower price saves.
pub(super) const MAX_PART: f64 = 1.35;
/// Share of its engines that a data centre keeps in one step. The others are further away from its
/// callers, and do not cache its prompts.
const KEPT_SHARE: f64 = 0.75;

/// The reclaimable engines of one data centre.
#[derive(Clone, Debug)]
pub(super) struct Allotment {
    pub zone: Zone,
    /// Present number, and the new one afterwards.
    pub engines: u32,
    /// Largest number allowed.
    pub max: u32,
    /// Share of the engines that the deployment started with.
    pub share: f64,
    /// Price relative to other data centres.
    pub price: f64,
    /// Whether none are to be had there at present.
    pub is_lost: bool,
}

impl Allotment {
    /// Engines in relation to the data centre's share.
    fn fill(&self) -> f64 {
        f64::from(self.engines) / self.share
    }

    fn is_above(&self, part: f64, total: u32) -> bool {
        f64::from(self.engines) > part * self.share * f64::from(total)
    }
}

/// Changes the numbers so that they add up to `total`, as far as bounds allow.
pub(super) fn allocate(allotments: &mut [Allotment], total: u32) {
    let least: Vec<f64> = allotments
        .iter()
        .map(|allotment| {
            let by_share = MIN_PART * allotment.share * f64::from(total);
            by_share.max(KEPT_SHARE * f64::from(allotment.engines))
        })
        .collect();
    loop {
        let present: u32 = allotments.iter().map(|allotment| allotment.engines).sum();
        let chosen = match present.cmp(&total) {
            Ordering::Equal => return,
            Ordering::Greater => {
                let candidates = allotments.iter_mut().zip(&least);
                candidates
                    .filter(|(allotment, least)| f64::from(allotment.engines) > least.ceil())
                    .map(|(allotment, _)| allotment)
                    .max_by(|a, b| {
                        let is_above = |of: &Allotment| of.is_above(MAX_PART, total);
                        is_above(a)
                            .cmp(&is_above(b))
                            .then(a.price.total_cmp(&b.price))
                            .then(a.fill().total_cmp(&b.fill()))
                    })
            }
            Ordering::Less => {
                let candidates = allotments.iter_mut();
                candidates
                    .filter(|allotment| !allotment.is_lost && allotment.engines < allotment.max)
                    .min_by(|a, b| {
                        let is_full = |of: &Allotment| {
                            f64::from(of.engines + 1) > MAX_PART * of.share * f64::from(total)
                        };
                        is_full(a)
                            .cmp(&is_full(b))
                            .then(a.price.total_cmp(&b.price))
                            .then(a.fill().total_cmp(&b.fill()))
                    })
            }
        };
        match chosen {
            Some(allotment) if present > total => allotment.engines -= 1,
            Some(allotment) => allotment.engines += 1,
            None => return,
        }
    }
}
