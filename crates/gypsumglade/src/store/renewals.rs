//! Renewals of endpoints' leases that this store has taken, on their way to the leader.
//!
//! An endpoint repeats its announcement every few seconds. The leader needs to hear of that, but not
//! at once and not one by one.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{Command, Renew};
use gypsumglade_core::wire::operator::ControlRequest;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;
use tokio_util::sync::CancellationToken;

use crate::control_client::ControlGroupClient;

/// Mean interval between two reports to the leader; well below the lease of an endpoint.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Names of endpoints whose renewal the leader hasn't heard of.
#[derive(Debug, Default)]
pub(super) struct Renewals {
    pending: Mutex<BTreeSet<CompactString>>,
}

impl Renewals {
    /// Takes a renewal.
    pub(super) fn add(&self, name: &str) {
        self.pending().insert(name.to_compact_string());
    }

    /// Reports renewals to the leader until `halt` is cancelled.
    pub(super) async fn report(&self, control: ControlGroupClient, halt: CancellationToken) {
        while !halt.is_cancelled() {
            tokio::time::sleep(REPORT_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
            let names = std::mem::take(&mut *self.pending());
            if names.is_empty() {
                continue;
            }
            let renew = Renew { names: names.iter().map(ToString::to_string).collect() };
            let command = Command { body: Some(CommandBody::Renew(renew)) };
            let request = ControlRequest { body: Some(RequestBody::Command(command)) };
            if control.ask(&request).await.is_none() {
                // The next report takes them along.
                self.pending().extend(names);
            }
        }
    }

    fn pending(&self) -> MutexGuard<'_, BTreeSet<CompactString>> {
        self.pending.lock().expect("no panic while held")
    }
}
