//! Gauges of a store's memory and its followers' lag, computed for each request of the metrics
//! page.

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::Role;
use prometheus::{Encoder as _, GaugeVec, Opts, Registry, TextEncoder};

use super::serve::StoreState;
use crate::metrics::group_name;
use crate::replica::{HostStatus, MemoryUsage};

/// Timeout of the replicas' status. On a timeout, the page lacks their gauges and
/// `store_replicas_respond` is 0.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Registers the gauges of one page.
struct Gauges {
    registry: Registry,
}

/// Returns the store's part of the metrics page.
///
/// # Errors
/// Fails when a metric cannot be registered or encoded, which is a bug.
pub(crate) async fn metrics_page(state: &StoreState) -> anyhow::Result<String> {
    let status = tokio::time::timeout(STATUS_TIMEOUT, state.context.host.status()).await;
    let gauges = Gauges { registry: Registry::new() };
    let bytes = gauges.gauge("store_held_bytes", "bytes in memory, by kind", &["kind"])?;
    let counts = gauges.gauge("store_held_count", "things in memory, by kind", &["kind"])?;
    let queues = gauges.gauge("store_peer_queue_bytes", "bytes that wait to be sent", &["peer"])?;
    let mut queued = 0;
    for (peer, waiting) in state.context.queues.waiting() {
        queued += waiting;
        set(&queues, &[&peer.0.to_string()], waiting as f64);
    }
    set(&bytes, &["peer_queues"], queued as f64);
    let sizes = state.turns.sizes();
    set(&counts, &["turns"], sizes.turns as f64);
    set(&counts, &["programs"], sizes.programs as f64);
    let responds =
        gauges.gauge("store_replicas_respond", "1 if the replicas answered in time", &[])?;
    set(&responds, &[], f64::from(u8::from(status.is_ok())));
    if let Ok(status) = status {
        gauges.set_memory(&status.held, &bytes, &counts);
        gauges.set_groups(&status)?;
    }
    let mut text = Vec::new();
    TextEncoder::new().encode(&gauges.registry.gather(), &mut text)?;
    Ok(String::from_utf8(text)?)
}

impl Gauges {
    fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> anyhow::Result<GaugeVec> {
        let gauge = GaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn set_memory(&self, held: &MemoryUsage, bytes: &GaugeVec, counts: &GaugeVec) {
        set(bytes, &["log_cache"], held.cache as f64);
        set(bytes, &["snapshot_writing"], held.writing as f64);
        set(bytes, &["snapshot_sending"], held.sending as f64);
        set(bytes, &["snapshot_arriving"], held.arriving as f64);
        set(bytes, &["inbox"], held.inbox as f64);
        set(counts, &["events"], held.events as f64);
        set(counts, &["commands"], held.commands as f64);
    }

    fn set_groups(&self, status: &HostStatus) -> anyhow::Result<()> {
        let leads = self.gauge("replica_leads", "1 if this store leads one", &["group"])?;
        let log = self.gauge("replica_log_entries", "entries after the snapshot", &["group"])?;
        let backlog = self.gauge("replica_backlog_bytes", "bytes not committed", &["group"])?;
        let labels = ["group", "follower"];
        let entries = self.gauge("follower_behind_entries", "entries it lacks", &labels)?;
        let bytes = self.gauge("follower_behind_bytes", "bytes it lacks", &labels)?;
        let silent = self.gauge("follower_silent_seconds", "time without an answer", &labels)?;
        let snapshot = self.gauge("follower_takes_snapshot", "1 if sent a snapshot", &labels)?;
        for group in &status.groups {
            // Program groups share a label, which shows the highest value.
            let name = [group_name(group.group)];
            let led = group.role == Role::Leader;
            set_max(&leads, &name, f64::from(u8::from(led)));
            let length = group.last.index.0.saturating_sub(group.snapshot.index.0);
            set_max(&log, &name, length as f64);
            set_max(&backlog, &name, group.backlog as f64);
            for lag in &group.followers {
                let follower = lag.vm.0.to_string();
                let labels = [group_name(group.group), follower.as_str()];
                set_max(&entries, &labels, lag.entries as f64);
                set_max(&bytes, &labels, lag.bytes as f64);
                set_max(&silent, &labels, lag.silent.as_secs_f64());
                set_max(&snapshot, &labels, f64::from(u8::from(lag.snapshot)));
            }
        }
        Ok(())
    }
}

fn set(gauge: &GaugeVec, labels: &[&str], value: f64) {
    gauge.with_label_values(labels).set(value);
}

fn set_max(gauge: &GaugeVec, labels: &[&str], value: f64) {
    let found = gauge.with_label_values(labels);
    found.set(found.get().max(value));
}
