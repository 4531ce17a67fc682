//! Which requests may hold memory of a process, and which one gives way when it runs short.
//!
//! The load pattern is a crowd of callers that send large bodies and stop short of their end, or don't
//! read large answers. If the newest request were refused, such a crowd would keep everybody else out
//! until its time limit. A request that waits for its caller gives way instead: the one that has held
//! the most for the longest. Large requests leave a part of the memory to small ones. See
//! docs/design/callers.md.

use crate::arena::{Arena, ArenaKey};
use crate::prelude::*;

/// Part of the memory that only small requests may use.
const SMALL_SHARE: u64 = 4;
/// A request is small if it holds no more than this part of the memory.
const SMALL_DIVISOR: u64 = 32;
/// How long a caller may take an answer before its request may give way: an attentive caller needs a
/// fraction of that for the largest answer.
const DELIVERY_GRACE: Duration = Duration::from_secs(5);

/// Part of the memory that requests which give way may still hold for a large one to take their place.
const LEAVING_SHARE: u64 = 4;

/// Key of a request that holds memory.
pub type RequestKey = ArenaKey;

/// What a request does at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Its caller is sending it.
    Receiving,
    /// It is complete and under way.
    Running,
    /// Its caller is taking the answer.
    Answering,
    /// It has given way and is about to release what it holds.
    Leaving,
}

/// There is not enough memory for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests is used up")]
pub struct OutOfMemory;

#[derive(Clone, Copy, Debug)]
struct Request {
    bytes: u64,
    phase: RequestPhase,
    /// When the phase began.
    since: Time,
}

impl Request {
    /// Returns how much a request has held for how long while it waited for its caller, or zero if it
    /// doesn't wait.
    fn wait_cost(&self, now: Time) -> u128 {
        let waited = now.since(self.since);
        let waits = match self.phase {
            RequestPhase::Receiving => true,
            RequestPhase::Running | RequestPhase::Leaving => false,
            RequestPhase::Answering => waited >= DELIVERY_GRACE,
        };
        if waits { u128::from(self.bytes) * (waited.as_millis() + 1) } else { 0 }
    }
}

/// Returns the most that a single request may hold of a budget of `capacity` bytes.
pub const fn largest_request(capacity: u64) -> u64 {
    capacity - capacity / SMALL_SHARE
}

/// Memory that requests hold.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    capacity: u64,
    /// Bytes of all requests but those that leave.
    held: u64,
    /// Bytes of the requests that leave.
    leaving: u64,
    requests: Arena<Request>,
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(capacity: u64) -> MemoryBudget {
        MemoryBudget { capacity, held: 0, leaving: 0, requests: Arena::default() }
    }

    /// Adds a request that holds nothing yet and whose caller is sending it.
    pub fn open(&mut self, now: Time) -> RequestKey {
        self.requests.insert(Request { bytes: 0, phase: RequestPhase::Receiving, since: now })
    }

    /// Lets a request hold more. Returns the requests that have to give way, which are to be ended.
    ///
    /// # Errors
    /// Fails if there is not enough memory, or the request has to give way itself.
    pub fn grow(
        &mut self,
        now: Time,
        key: RequestKey,
        bytes: u64,
    ) -> Result<Vec<RequestKey>, OutOfMemory> {
        let own = self.requests.get(key).filter(|own| own.phase != RequestPhase::Leaving);
        let own = *own.ok_or(OutOfMemory)?;
        let grown = Request { bytes: own.bytes.saturating_add(bytes), ..own };
        let is_small = grown.bytes <= self.capacity / SMALL_DIVISOR;
        let limit = match is_small {
            true => self.capacity,
            false => largest_request(self.capacity),
        };
        let needed = self.held.saturating_add(bytes).saturating_sub(limit);
        if needed > 0 && !is_small && self.leaving > self.capacity / LEAVING_SHARE {
            return Err(OutOfMemory);
        }
        let evicted = self.choose_evicted(now, key, grown, needed).ok_or(OutOfMemory)?;
        evicted.iter().for_each(|key| self.set_phase(now, *key, RequestPhase::Leaving));
        if let Some(request) = self.requests.get_mut(key) {
            *request = grown;
            self.held += bytes;
        }
        Ok(evicted)
    }

    /// Takes back a part of what a request holds.
    pub fn shrink(&mut self, key: RequestKey, bytes: u64) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let bytes = bytes.min(request.bytes);
        request.bytes -= bytes;
        match request.phase {
            RequestPhase::Leaving => self.leaving -= bytes,
            _ => self.held -= bytes,
        }
    }

    /// Records what a request does from now on. One that has to give way stays so.
    pub fn set_phase(&mut self, now: Time, key: RequestKey, phase: RequestPhase) {
        let request = self.requests.get_mut(key);
        let Some(request) = request.filter(|one| one.phase != RequestPhase::Leaving) else {
            return;
        };
        request.phase = phase;
        request.since = now;
        if phase == RequestPhase::Leaving {
            self.held -= request.bytes;
            self.leaving += request.bytes;
        }
    }

    /// Removes a request, which holds nothing any more.
    pub fn close(&mut self, key: RequestKey) {
        match self.requests.remove(key) {
            Some(Request { bytes, phase: RequestPhase::Leaving, .. }) => self.leaving -= bytes,
            Some(Request { bytes, .. }) => self.held -= bytes,
            None => {}
        }
    }

    /// Returns the bytes that requests hold, without those that have to give way.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Chooses requests that free this many bytes, each of which has cost more than `grown`. Returns `None`
    /// if there are too few.
    fn choose_evicted(
        &self,
        now: Time,
        key: RequestKey,
        grown: Request,
        needed: u64,
    ) -> Option<Vec<RequestKey>> {
        if needed == 0 {
            return Some(Vec::new());
        }
        let own = grown.wait_cost(now);
        let others = self.requests.iter().filter(|(other, _)| *other != key);
        let costs = others.map(|(key, request)| (request.wait_cost(now), key, request.bytes));
        let mut waiting: Vec<_> = costs.filter(|(cost, ..)| *cost > own).collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        let (mut freed, mut evicted) = (0, Vec::new());
        for (_, key, bytes) in waiting {
            if freed >= needed {
                break;
            }
            freed += bytes;
            evicted.push(key);
        }
        (freed >= needed).then_some(evicted)
    }
}
