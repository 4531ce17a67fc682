//! Tests of the budget for the memory of requests.

use gypsumglade_core::policy::memory_budget::{
    MemoryBudget, OutOfMemory, RequestKey, RequestPhase, largest_request,
};
use gypsumglade_core::prelude::*;
use proptest::prelude::*;

const MB: u64 = 1_000_000;
const CAPACITY: u64 = 32 * MB;
/// A body that stops short of its end.
const LARGE: u64 = 4 * MB;
/// An ordinary turn.
const SMALL: u64 = 17_000;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Opens a request that holds this much.
fn open(budget: &mut MemoryBudget, now: Time, bytes: u64) -> Result<RequestKey, OutOfMemory> {
    let key = budget.open(now);
    budget.grow(now, key, bytes).inspect_err(|_| budget.close(key))?;
    Ok(key)
}

/// Fills the budget with large bodies that arrive one after the other.
fn crowd(budget: &mut MemoryBudget) -> Vec<RequestKey> {
    let count = largest_request(CAPACITY) / LARGE;
    (0..count).map(|number| open(budget, at(number), LARGE).expect("room")).collect()
}

/// A crowd that stops short of its end kept everybody else out until its time limit.
#[test]
fn grow_evicts_oldest_body() {
    let mut budget = MemoryBudget::new(CAPACITY);
    let crowd = crowd(&mut budget);
    let newcomer = budget.open(at(1_000));
    assert_eq!(budget.grow(at(1_000), newcomer, LARGE), Ok(vec![crowd[0]]));
    assert_eq!(budget.grow(at(1_000), crowd[0], 1), Err(OutOfMemory));
}

/// Ordinary requests got no room beside large ones that run.
#[test]
fn grow_keeps_room_for_small() {
    let mut budget = MemoryBudget::new(CAPACITY);
    for key in crowd(&mut budget) {
        budget.set_phase(at(500), key, RequestPhase::Running);
    }
    assert!(open(&mut budget, at(1_000), LARGE).is_err());
    for _ in 0..CAPACITY / 4 / SMALL {
        assert!(open(&mut budget, at(1_000), SMALL).is_ok());
    }
    assert!(open(&mut budget, at(1_000), SMALL).is_err());
}

/// Small requests that their callers still send gave way to one that holds more.
#[test]
fn grow_spares_small_requests() {
    let mut budget = MemoryBudget::new(CAPACITY);
    let small = open(&mut budget, at(0), SMALL).expect("room");
    let crowd = crowd(&mut budget);
    let newcomer = budget.open(at(1_000));
    let evicted = budget.grow(at(1_000), newcomer, LARGE).expect("room");
    assert!(evicted.iter().all(|key| crowd.contains(key)) && !evicted.contains(&small));
}

/// Requests that had to give way still held their memory while others took it.
#[test]
fn grow_waits_for_release() {
    let mut budget = MemoryBudget::new(CAPACITY);
    let crowd = crowd(&mut budget);
    for _ in 0..3 {
        assert!(open(&mut budget, at(1_000), LARGE).is_ok());
    }
    assert!(open(&mut budget, at(1_000), LARGE).is_err());
    crowd.iter().for_each(|key| budget.close(*key));
    assert!(open(&mut budget, at(1_001), LARGE).is_ok());
}

/// Answers that nobody reads held their memory for as long as their connections.
#[test]
fn grow_evicts_unread_answer() {
    let mut budget = MemoryBudget::new(CAPACITY);
    let crowd = crowd(&mut budget);
    crowd.iter().for_each(|key| budget.set_phase(at(10), *key, RequestPhase::Answering));
    // A caller that takes its answer keeps it.
    assert!(open(&mut budget, at(1_000), LARGE).is_err());
    assert!(open(&mut budget, at(6_000), LARGE).is_ok());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Grow(usize, u64),
    Shrink(usize, u64),
    Phase(usize, RequestPhase),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let phase = prop_oneof![
        Just(RequestPhase::Receiving),
        Just(RequestPhase::Running),
        Just(RequestPhase::Answering)
    ];
    prop_oneof![
        Just(Step::Open),
        (0..64_usize, 0..LARGE).prop_map(|(index, bytes)| Step::Grow(index, bytes)),
        (0..64_usize, 0..LARGE).prop_map(|(index, bytes)| Step::Shrink(index, bytes)),
        (0..64_usize, phase).prop_map(|(index, phase)| Step::Phase(index, phase)),
        (0..64_usize).prop_map(Step::Close),
    ]
}

proptest! {
    /// The budget was exceeded, or bytes of removed requests stayed counted.
    #[test]
    fn held_within_capacity(steps in proptest::collection::vec(step(), 0..200)) {
        let mut budget = MemoryBudget::new(CAPACITY);
        let mut keys = Vec::new();
        for (now, step) in steps.into_iter().enumerate() {
            let now = at(now as u64 * 50);
            let pick = |index: usize| keys.get(index % keys.len().max(1)).copied();
            match step {
                Step::Open => keys.push(budget.open(now)),
                Step::Grow(index, bytes) => {
                    if let Some(key) = pick(index) {
                        // A refusal changes nothing.
                        let _ = budget.grow(now, key, bytes);
                    }
                }
                Step::Shrink(index, bytes) => {
                    if let Some(key) = pick(index) {
                        budget.shrink(key, bytes);
                    }
                }
                Step::Phase(index, phase) => {
                    if let Some(key) = pick(index) {
                        budget.set_phase(now, key, phase);
                    }
                }
                Step::Close(index) => {
                    if let Some(key) = pick(index) {
                        budget.close(key);
                    }
                }
            }
            prop_assert!(budget.held() <= CAPACITY);
        }
        keys.into_iter().for_each(|key| budget.close(key));
        prop_assert_eq!(budget.held(), 0);
    }
}
