//! Decides which requests are quarantined: the fewest that explain the crashes.
//!
//! The load pattern is an endpoint that ends with many requests in flight, of which one crashed it.
//! See docs/design/quarantine.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::Range;

use super::{EndKey, ISOLATION_CRASHES, RequestDigest, Scope, Suspect};

/// Fewest contents under which endpoints have ended before all requests for a resource are refused.
/// Crashes of one content say nothing of the others.
const MIN_CONTENTS: u32 = 2;

/// Requests that are quarantined, and the ends of endpoints that they explain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Causes {
    /// The quarantined requests with their resources.
    digests: BTreeMap<RequestDigest, Option<RequestDigest>>,
    /// The causes under which each endpoint ended.
    explained: BTreeMap<EndKey, Vec<RequestDigest>>,
}

/// A request that may be a cause. The greatest is examined first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Number of ends that no cause explains.
    unexplained: usize,
    /// A content goes before its resource if it explains as much.
    scope: Reverse<Scope>,
    /// Of two with as many, the later one's last crash may have had another reason.
    change: Reverse<u64>,
    digest: RequestDigest,
}

/// Suspects by the endpoints that ended under them.
struct Index<'a> {
    suspects: Vec<(&'a RequestDigest, &'a Suspect)>,
    /// Each end with the position of a suspect that ran there, sorted.
    ends: Vec<(EndKey, usize)>,
    /// Where the suspects of an end are in `ends`.
    spans: HashMap<EndKey, Range<usize>>,
    /// Number of suspected contents of each resource.
    contents: HashMap<RequestDigest, u32>,
}

impl Causes {
    /// Returns the requests that are quarantined at the group's time `now`. Each has crashed enough
    /// endpoints, at least [`ISOLATION_CRASHES`] of which no other explains.
    ///
    /// Two crashing requests that end the same few endpoints are both found, each by its own ends.
    /// Requests that ran together at every crash are not told apart, and none of them is quarantined:
    /// the next crash of one of them will tell. One that has been quarantined for some time stays so:
    /// another that is found later would otherwise explain its crashes, and free it.
    pub(super) fn find(all: &BTreeMap<RequestDigest, Suspect>, now: u64) -> Causes {
        let mut causes = Causes::default();
        for (digest, suspect) in all.iter().filter(|(_, suspect)| suspect.is_settled(now)) {
            causes.add(*digest, suspect);
        }
        let may_be_cause = |(digest, suspect): &(&RequestDigest, &Suspect)| {
            suspect.may_be_cause() && !causes.contains(digest)
        };
        let mut open: BinaryHeap<Candidate> = all
            .iter()
            .filter(may_be_cause)
            .map(|(digest, suspect)| Candidate::new(*digest, suspect, suspect.endpoints.len()))
            .collect();
        if open.is_empty() {
            return causes;
        }
        let index = Index::new(all);
        while let Some(candidate) = open.pop() {
            let digest = candidate.digest;
            let suspect = &all[&digest];
            let own = causes.unexplained(&digest, suspect);
            if own.len() < ISOLATION_CRASHES as usize || !index.has_contents(&digest, suspect) {
                continue;
            }
            if own.len() < candidate.unexplained {
                open.push(Candidate::new(digest, suspect, own.len()));
                continue;
            }
            if !index.is_tied(&digest, suspect, &own, &causes) {
                causes.add(digest, suspect);
            }
        }
        causes
    }

    /// Returns whether a request is quarantined.
    pub(super) fn contains(&self, digest: &RequestDigest) -> bool {
        self.digests.contains_key(digest)
    }

    /// Returns the ends of a suspect's endpoints that no other quarantined request explains.
    ///
    /// A content and its resource stand for the same runs, so neither explains the other's.
    pub(super) fn unexplained(&self, digest: &RequestDigest, suspect: &Suspect) -> Vec<EndKey> {
        let is_other = |cause: &RequestDigest| {
            let resource = self.digests.get(cause).copied().flatten();
            !is_same((digest, suspect.resource), (cause, resource))
        };
        let is_explained = |ended: &EndKey| {
            self.explained.get(ended).is_some_and(|causes| causes.iter().any(is_other))
        };
        let ends = suspect.endpoints.iter().map(|ended| ended.key);
        ends.filter(|ended| !is_explained(ended)).collect()
    }

    fn add(&mut self, digest: RequestDigest, suspect: &Suspect) {
        self.digests.insert(digest, suspect.resource);
        for ended in &suspect.endpoints {
            self.explained.entry(ended.key).or_default().push(digest);
        }
    }
}

impl Candidate {
    fn new(digest: RequestDigest, suspect: &Suspect, unexplained: usize) -> Candidate {
        Candidate {
            unexplained,
            scope: Reverse(suspect.scope),
            change: Reverse(suspect.change),
            digest,
        }
    }
}

impl Index<'_> {
    fn new(all: &BTreeMap<RequestDigest, Suspect>) -> Index<'_> {
        let suspects: Vec<_> = all.iter().collect();
        let mut ends = Vec::new();
        let mut contents: HashMap<RequestDigest, u32> = HashMap::new();
        for (position, (_, suspect)) in suspects.iter().enumerate() {
            ends.extend(suspect.endpoints.iter().map(|ended| (ended.key, position)));
            if let Some(resource) = suspect.resource {
                *contents.entry(resource).or_default() += 1;
            }
        }
        ends.sort_unstable();
        let mut spans = HashMap::with_capacity(ends.len());
        let mut start = 0;
        for span in ends.chunk_by(|(one, _), (other, _)| one == other) {
            spans.insert(span[0].0, start..start + span.len());
            start += span.len();
        }
        Index { suspects, ends, spans, contents }
    }

    /// Returns whether a resource has crashed endpoints under several contents. A content needs none.
    fn has_contents(&self, digest: &RequestDigest, suspect: &Suspect) -> bool {
        match suspect.scope {
            Scope::Content => true,
            Scope::Resource => {
                self.contents.get(digest).is_some_and(|count| *count >= MIN_CONTENTS)
            }
        }
    }

    /// Returns whether another suspect was in flight at all the endpoints `own`.
    fn is_tied(
        &self,
        digest: &RequestDigest,
        suspect: &Suspect,
        own: &[EndKey],
        causes: &Causes,
    ) -> bool {
        let spans = own.iter().filter_map(|ended| self.spans.get(ended));
        let rarest = spans.min_by_key(|span| span.len()).cloned().unwrap_or_default();
        let others = self.ends[rarest].iter().map(|(_, position)| self.suspects[*position]);
        let mut others = others.filter(|(other, beside)| {
            !is_same((digest, suspect.resource), (other, beside.resource))
                && !causes.contains(other)
        });
        others.any(|(_, beside)| {
            own.iter().all(|key| beside.endpoints.iter().any(|ended| ended.key == *key))
        })
    }
}

/// Returns whether two records, each a digest and the resource that its content was for, stand for the
/// same runs: they are the same, or a content and its resource.
fn is_same(
    (one, its_resource): (&RequestDigest, Option<RequestDigest>),
    (other, other_resource): (&RequestDigest, Option<RequestDigest>),
) -> bool {
    one == other || its_resource == Some(*other) || other_resource == Some(*one)
}
