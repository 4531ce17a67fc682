//! What a run is judged by.

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::retention::CacheUse;
use gypsumglade_core::prelude::*;

use super::workload::Plan;
use super::{GOODPUT_FROM, GOODPUT_TO, SAMPLE_FROM, SAMPLE_TO};

/// Latency counted for a program whose caller gave up: an hour.
const LOST: f64 = 3_600.0;

/// Sums of one run, or of several added up.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Prefix memory.
    pub cache: CacheUse,
    /// Bytes over the paid link.
    pub paid: u64,
    /// Programs refused at their first call.
    pub shed: u32,
    /// Programs whose caller gave up.
    pub lost: u32,
    /// Programs that began in the window for latency, shed ones counted.
    pub offered: u32,
    /// Whole-program seconds of normal and urgent programs.
    pub latency: Vec<f64>,
    /// The same, urgent programs only.
    pub urgent: Vec<f64>,
    /// Engine seconds of programs that ended whole in the window for goodput.
    pub work: f64,
}

impl Tally {
    /// Counts a program that ended.
    pub fn ended(&mut self, plan: &Plan, started: Time, now: Time, whole: bool, work: f64) {
        if whole && now >= GOODPUT_FROM && now < GOODPUT_TO {
            self.work += work;
        }
        if !sampled(plan) {
            return;
        }
        self.offered += 1;
        self.lost += u32::from(!whole);
        let seconds = if whole { now.since(started).as_secs_f64() } else { LOST };
        self.latency.push(seconds);
        if plan.class == Class::Urgent {
            self.urgent.push(seconds);
        }
    }

    /// Counts a program that was refused.
    pub fn shed(&mut self, plan: &Plan) {
        if sampled(plan) {
            self.offered += 1;
            self.shed += 1;
        }
    }

    /// Adds another run.
    pub fn add(&mut self, other: Tally) {
        self.cache.filled += other.cache.filled;
        self.cache.reused += other.cache.reused;
        self.cache.refilled += other.cache.refilled;
        self.cache.dropped += other.cache.dropped;
        self.paid += other.paid;
        self.shed += other.shed;
        self.lost += other.lost;
        self.offered += other.offered;
        self.latency.extend(other.latency);
        self.urgent.extend(other.urgent);
        self.work += other.work;
    }

    /// Returns tokens filled again or for programs that were lost.
    pub fn wasted(&self) -> u64 {
        self.cache.refilled + self.cache.dropped
    }
}

/// Returns the value below which a share of the samples lies.
pub fn quantile(samples: &[f64], share: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}

fn sampled(plan: &Plan) -> bool {
    plan.at >= SAMPLE_FROM && plan.at < SAMPLE_TO
}
