//! Pre-votes, elections and votes.

use super::effect::Effect;
use super::replica::{Replica, Role};
use super::types::{Ballot, LogIndex, Position, Term};
use crate::prelude::*;
use crate::wire::replication as wire;
use crate::wire::replication::message::Body;

impl Replica {
    /// Starts a pre-vote.
    ///
    /// Without it, a replica that was cut off would raise its term repeatedly and depose a healthy
    /// leader when it reconnects.
    pub(super) fn begin_election(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.settings.safeguards.pre_vote {
            return self.campaign(now, false, out);
        }
        self.role = Role::PreCandidate;
        self.reset_timeout(now);
        if self.leader.take().is_some() {
            out.push(Effect::Follower { leader: None });
        }
        self.votes = vec![self.id];
        if self.has_won() {
            return self.campaign(now, false, out);
        }
        self.request_votes(true, false, out);
    }

    /// Handles a request for a vote or a pre-vote.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Time,
        from: VmId,
        term: Term,
        request: &wire::VoteRequest,
        out: &mut Vec<Effect>,
    ) {
        if term < self.ballot.term {
            return self.send_vote_reply(from, request.pre, false, out);
        }
        let from_leader = self.leader == Some(from);
        if !request.transfer && !from_leader && self.is_in_lease(now) {
            return;
        }
        let last = Position { index: LogIndex(request.last_index), term: Term(request.last_term) };
        if request.pre {
            let granted = term > self.ballot.term && self.is_up_to_date(last);
            return self.send_pre_vote_reply(from, term, granted, out);
        }
        if term > self.ballot.term {
            self.become_follower(now, term, None, out);
        }
        let free = self.ballot.vote.is_none_or(|vote| vote == from);
        let granted = free && self.role == Role::Follower && self.is_up_to_date(last);
        if granted && self.ballot.vote.is_none() {
            self.reset_timeout(now);
            self.save_ballot(Ballot { term, vote: Some(from) }, out);
        }
        self.send_vote_reply(from, false, granted, out);
    }

    /// Counts a vote or a pre-vote.
    pub(super) fn handle_vote_reply(
        &mut self,
        now: Time,
        from: VmId,
        term: Term,
        reply: &wire::VoteReply,
        out: &mut Vec<Effect>,
    ) {
        let (role, wanted) = match reply.pre {
            true => (Role::PreCandidate, Term(self.ballot.term.0 + 1)),
            false => (Role::Candidate, self.ballot.term),
        };
        if !reply.granted || self.role != role || term != wanted || self.votes.contains(&from) {
            return;
        }
        self.votes.push(from);
        if !self.has_won() {
            return;
        }
        match role {
            Role::PreCandidate => self.campaign(now, false, out),
            _ => self.become_leader(now, out),
        }
    }

    /// Starts an election at once, since the leader transfers its leadership to this replica.
    pub(super) fn handle_timeout_now(&mut self, now: Time, from: VmId, out: &mut Vec<Effect>) {
        let requested = self.role == Role::Follower && self.leader == Some(from);
        if requested && self.log.members().is_voter(self.id) {
            self.campaign(now, true, out);
        }
    }

    /// Counts this replica's own vote once it is synced.
    ///
    /// If it counted earlier, a restarted candidate could vote for another one in a term that it
    /// had won.
    pub(super) fn count_own_vote(&mut self, now: Time, out: &mut Vec<Effect>) {
        let due = self.role == Role::Candidate && self.is_ballot_stable();
        if !due || self.votes.contains(&self.id) {
            return;
        }
        self.votes.push(self.id);
        if self.has_won() {
            self.become_leader(now, out);
        }
    }

    fn campaign(&mut self, now: Time, transfer: bool, out: &mut Vec<Effect>) {
        let term = Term(self.ballot.term.0 + 1);
        self.become_follower(now, term, None, out);
        self.role = Role::Candidate;
        self.save_ballot(Ballot { term, vote: Some(self.id) }, out);
        self.request_votes(false, transfer, out);
        self.count_own_vote(now, out);
    }

    fn request_votes(&mut self, pre: bool, transfer: bool, out: &mut Vec<Effect>) {
        let last = self.log.last();
        let request =
            wire::VoteRequest { pre, last_index: last.index.0, last_term: last.term.0, transfer };
        for to in self.log.members().voters.clone() {
            if to == self.id {
                continue;
            }
            if !pre {
                self.send_after_sync(to, Body::VoteRequest(request), out);
                continue;
            }
            let mut message = self.envelope(Body::VoteRequest(request));
            message.term += 1;
            out.push(Effect::Send { to, message });
        }
    }

    /// Returns whether a leader's lease may still rest on this replica's last reply.
    fn is_in_lease(&self, now: Time) -> bool {
        let last_contact = match &self.leader_state {
            Some(_) => Some(self.quorum_contact(now)),
            None => self.last_contact,
        };
        let waits =
            last_contact.is_some_and(|contact| now < contact + self.settings.election_timeout());
        waits && self.settings.safeguards.lease_wait
    }

    /// Returns whether a log that ends at `last` is at least as up to date as this one. Only then
    /// does the candidate have every committed entry that this replica knows.
    fn is_up_to_date(&self, last: Position) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    fn has_won(&self) -> bool {
        let voters = &self.log.members().voters;
        self.votes.iter().filter(|vm| voters.contains(vm)).count() >= self.quorum()
    }

    fn send_vote_reply(&mut self, to: VmId, pre: bool, granted: bool, out: &mut Vec<Effect>) {
        self.send_after_sync(to, Body::VoteReply(wire::VoteReply { pre, granted }), out);
    }

    fn send_pre_vote_reply(&mut self, to: VmId, term: Term, granted: bool, out: &mut Vec<Effect>) {
        if !granted {
            return self.send_vote_reply(to, true, false, out);
        }
        let mut message =
            self.envelope(Body::VoteReply(wire::VoteReply { pre: true, granted: true }));
        message.term = term.0;
        out.push(Effect::Send { to, message });
    }
}
