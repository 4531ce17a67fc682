//! Client that writes the texts of kept turns to stores and fetches them; see docs/design/texts.md.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::{Bytes, BytesMut};
use gypsumglade_core::policy::retry::{RetryBudget, RetrySettings};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::StoreInfo;
use gypsumglade_core::turns::{Holding, preferred_stores};
use gypsumglade_core::wire::turn::{Text, TextPut, TextQuery, TextStored, Texts};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::discovery::Discovery;
use crate::rpc::{Method, PeerClients};

/// Hedge delay of puts: how long stores may take before another one is asked as well.
const PUT_HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Time limit of a put to one store.
const PUT_TIMEOUT: Duration = Duration::from_secs(1);
/// Copies of a text in memory while it is sent to one store: the message, its text form, and the frame.
const PUT_COPIES: usize = 6;
/// Unit in which the memory for texts on their way is counted, in bytes.
const WINDOW_UNIT: usize = 1 << 10;
/// Hedge delay of fetches: how long a store may take before another one is asked as well.
const FETCH_HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Time limit of a fetch from one store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of texts after which no further ones are added to a fetch; keeps answers within their limit.
const MAX_FETCH_BYTES: u64 = 4 * 1024 * 1024;
/// Failed fetches after which a store is no longer asked; one may be due to a stale connection.
const MAX_FAILURES: u32 = 2;
/// Time since a store was last seen after which it is not chosen.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// How long a store that did not answer is chosen last.
const AVOID_FOR: Duration = Duration::from_millis(1_500);
/// Added to the turn's retention for its text, so that a store checks on the turn only after its expiry.
const RETENTION_GRACE: Duration = Duration::from_secs(15);

/// Stores and fetches texts. Clones share their state.
#[derive(Clone)]
pub struct TextClient {
    discovery: Option<Arc<Discovery>>,
    directory: Arc<Directory>,
    peers: PeerClients,
    region: CompactString,
    copies: usize,
    /// When each store last failed to answer; removed when it answers.
    unresponsive: Arc<Mutex<HashMap<VmId, Instant>>>,
    hedging: RetrySettings,
    /// Memory for texts on their way to stores, in [`WINDOW_UNIT`]s.
    window: Arc<Semaphore>,
    window_units: u32,
    /// Limits hedged puts to a fraction of all puts, so that they don't overload slow stores.
    hedge_budget: Arc<Mutex<RetryBudget>>,
}

impl TextClient {
    /// Creates a client that stores each text on `copies` stores.
    pub fn new(
        discovery: Option<Arc<Discovery>>,
        directory: Arc<Directory>,
        peers: PeerClients,
        region: CompactString,
        copies: usize,
    ) -> TextClient {
        let window_units = u32::MAX;
        let window = Arc::new(Semaphore::new(window_units as usize));
        let unresponsive = Arc::default();
        let hedging = RetrySettings::default();
        let hedge_budget = Arc::new(Mutex::new(RetryBudget::full(&hedging)));
        TextClient {
            discovery,
            directory,
            peers,
            region,
            copies,
            unresponsive,
            hedging,
            window,
            window_units,
            hedge_budget,
        }
    }

    /// Returns the client with a bound on the memory for texts that are on their way to stores. A single
    /// text may exceed it.
    pub fn with_memory(self, bytes: u64) -> TextClient {
        let window_units = u32::try_from(bytes / WINDOW_UNIT as u64).unwrap_or(u32::MAX).max(1);
        TextClient { window: Arc::new(Semaphore::new(window_units as usize)), window_units, ..self }
    }

    /// Writes a text to the configured number of stores and returns them. Returns `None` if too few have
    /// confirmed it by the deadline, or too few stores are left to ask.
    pub async fn put(
        &self,
        program: &str,
        text: Text,
        retention: Duration,
        deadline: Instant,
    ) -> Option<Vec<VmId>> {
        let retention_ms =
            u64::try_from((retention + RETENTION_GRACE).as_millis()).unwrap_or(u64::MAX);
        let put = Arc::new(TextPut { texts: vec![text], retention_ms });
        let order = self.preferred(program);
        // With fewer copies the text might not survive the store failures that the settings tolerate.
        let copies = self.copies;
        self.hedge_budget().earn(&self.hedging);
        let mut next = order.into_iter().peekable();
        let mut putting = JoinSet::new();
        let mut holders = Vec::with_capacity(copies);
        let mut asked: Vec<VmId> = next.by_ref().take(copies).collect();
        for &vm in &asked {
            self.start_put(&mut putting, vm, &put, deadline);
        }
        let mut hedge = Instant::now() + PUT_HEDGE_DELAY;
        while holders.len() < copies {
            let possible = holders.len() + putting.len() + next.len();
            if possible < copies || Instant::now() >= deadline {
                break;
            }
            tokio::select! {
                Some(stored) = putting.join_next() => match stored {
                    Ok((vm, true)) => holders.push(vm),
                    Ok((_, false)) | Err(_) => {
                        if let Some(vm) = next.next() {
                            asked.push(vm);
                            self.start_put(&mut putting, vm, &put, deadline);
                        }
                    }
                },
                () = tokio::time::sleep_until(hedge.min(deadline)) => {
                    // Choose slow stores last until they answer.
                    asked.iter().filter(|vm| !holders.contains(vm)).for_each(|vm| self.record_response(*vm, false));
                    if let Some(vm) = next.next_if(|_| self.hedge_budget().spend()) {
                        asked.push(vm);
                        self.start_put(&mut putting, vm, &put, deadline);
                    }
                    hedge = Instant::now() + PUT_HEDGE_DELAY;
                }
            }
        }
        // Puts in flight may still succeed; a store drops surplus copies later.
        putting.detach_all();
        (holders.len() == copies && copies > 0).then_some(holders)
    }

    /// Returns the concatenated texts of a chain, oldest first. Returns `None` when the deadline passes or
    /// no store is left that may hold a missing text.
    pub async fn fetch(&self, chain: &[Holding], deadline: Instant) -> Option<Bytes> {
        let mut found: HashMap<String, Text> = HashMap::new();
        let mut state = FetchState::default();
        let mut requests = JoinSet::new();
        let mut hedge = Instant::now();
        loop {
            let lacking: Vec<&Holding> =
                chain.iter().filter(|holding| !found.contains_key(holding.turn.as_str())).collect();
            if lacking.is_empty() {
                return Some(concat(chain, &found));
            }
            if Instant::now() >= deadline {
                return None;
            }
            let due = Instant::now() >= hedge;
            match self.choose_source(&lacking, &state) {
                Some(vm) if due || state.may_ask_now(vm) => {
                    let turns = state.start_request(vm, &lacking);
                    requests.spawn(self.clone().ask_texts(vm, turns, deadline));
                    hedge = Instant::now() + FETCH_HEDGE_DELAY;
                }
                None if requests.is_empty() => return None,
                None if due => hedge = Instant::now() + FETCH_HEDGE_DELAY,
                _ => {}
            }
            tokio::select! {
                Some(answer) = requests.join_next() => {
                    let Ok(answer) = answer else { continue };
                    found.extend(state.finish_request(answer));
                }
                () = tokio::time::sleep_until(hedge.min(deadline)) => {
                    // Choose slow stores last until they answer.
                    state.in_flight.iter().for_each(|vm| self.record_response(*vm, false));
                }
            }
        }
    }

    /// Returns the store to ask next among those that may hold a missing text. Prefers few failures, then
    /// responsive stores, then those with the most missing texts, then the own region.
    fn choose_source(&self, lacking: &[&Holding], state: &FetchState) -> Option<VmId> {
        let mut counts: HashMap<VmId, usize> = HashMap::new();
        for holding in lacking {
            let holders = holding.holders.iter().filter(|vm| state.may_have(**vm, &holding.turn));
            holders.for_each(|vm| *counts.entry(*vm).or_default() += 1);
        }
        let near: Vec<VmId> = self.stores_by_region();
        let rank = |vm: VmId| near.iter().position(|other| *other == vm).unwrap_or(usize::MAX);
        let stores = counts.into_iter().filter(|(vm, _)| self.directory.store(*vm).is_some());
        let best = stores.min_by_key(|(vm, count)| {
            (state.failures(*vm), self.is_unresponsive(*vm), usize::MAX - count, rank(*vm), *vm)
        });
        best.map(|(vm, _)| vm)
    }

    async fn ask_texts(self, source: VmId, turns: Vec<String>, deadline: Instant) -> FetchAnswer {
        let query = TextQuery { turns };
        let left = deadline.saturating_duration_since(Instant::now()).min(FETCH_TIMEOUT);
        let texts = match self.directory.store(source) {
            Some(address) => {
                let request = self.peers.ask::<_, Texts>(address, Method::Texts, &query, left);
                request.await.ok().map(|texts| texts.texts)
            }
            None => None,
        };
        self.record_response(source, texts.is_some());
        FetchAnswer { source, turns: query.turns, texts }
    }

    fn start_put(
        &self,
        putting: &mut JoinSet<(VmId, bool)>,
        vm: VmId,
        put: &Arc<TextPut>,
        deadline: Instant,
    ) {
        let (client, put) = (self.clone(), Arc::clone(put));
        putting.spawn(async move {
            let Some(address) = client.directory.store(vm) else { return (vm, false) };
            // Held by the first store's put, a large text waits before it is copied for the next one.
            let waiting = tokio::time::timeout_at(deadline, client.enter_window(&put)).await;
            let Ok(_permit) = waiting else { return (vm, false) };
            let timeout = deadline.saturating_duration_since(Instant::now()).min(PUT_TIMEOUT);
            let stored = client.peers.ask(address, Method::PutTexts, put.as_ref(), timeout).await;
            client.record_response(vm, stored.is_ok());
            // A store that was wiped has the same address but a new id.
            (vm, stored.is_ok_and(|stored: TextStored| stored.stored && stored.vm == vm.0))
        });
    }

    /// Waits until there is memory for sending texts to a store.
    async fn enter_window(&self, put: &TextPut) -> Option<SemaphorePermit<'_>> {
        let bytes: usize = put.texts.iter().map(|text| text.input.len() + text.output.len()).sum();
        let units = u32::try_from(bytes * PUT_COPIES / WINDOW_UNIT).unwrap_or(u32::MAX);
        self.window.acquire_many(units.min(self.window_units)).await.ok()
    }

    /// Returns the stores in order of preference for a program's texts, the unresponsive ones last.
    fn preferred(&self, program: &str) -> Vec<VmId> {
        let mut order = preferred_stores(program, &self.region, &self.known_stores());
        order.sort_by_key(|vm| self.is_unresponsive(*vm));
        order
    }

    /// Returns the stores that discovery has recently seen or, without discovery, those in the settings.
    fn known_stores(&self) -> Vec<StoreInfo> {
        if let Some(discovery) = &self.discovery {
            return discovery.recent_stores(STALE_AFTER);
        }
        let stores = self.directory.stores().into_keys().map(|vm| StoreInfo {
            vm,
            domain: vm.0.to_compact_string(),
            region: self.region.clone(),
            retiring: false,
        });
        stores.collect()
    }

    /// Returns the known stores, those of the own region first.
    fn stores_by_region(&self) -> Vec<VmId> {
        let mut stores = self.known_stores();
        stores.sort_by_key(|store| store.region != self.region);
        stores.into_iter().map(|store| store.vm).collect()
    }

    fn hedge_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.hedge_budget.lock().expect("no panic while held")
    }

    fn is_unresponsive(&self, vm: VmId) -> bool {
        let unresponsive = self.unresponsive.lock().expect("no panic while held");
        unresponsive.get(&vm).is_some_and(|at| at.elapsed() < AVOID_FOR)
    }

    fn record_response(&self, vm: VmId, answered: bool) {
        let mut unresponsive = self.unresponsive.lock().expect("no panic while held");
        match answered {
            true => unresponsive.remove(&vm),
            false => unresponsive.insert(vm, Instant::now()),
        };
    }
}

/// A store's answer to a fetch.
struct FetchAnswer {
    source: VmId,
    /// Turns whose texts were asked for.
    turns: Vec<String>,
    /// `None` if the store did not answer.
    texts: Option<Vec<Text>>,
}

/// What one fetch has learnt about the stores that may hold its texts.
#[derive(Default)]
struct FetchState {
    in_flight: HashSet<VmId>,
    failures: HashMap<VmId, u32>,
    /// Texts that a store has answered not to hold, by turn.
    missing: HashSet<(VmId, String)>,
}

impl FetchState {
    fn failures(&self, vm: VmId) -> u32 {
        self.failures.get(&vm).copied().unwrap_or_default()
    }

    /// Returns whether a store may be asked for a turn's text now.
    fn may_have(&self, vm: VmId, turn: &str) -> bool {
        !self.in_flight.contains(&vm)
            && self.failures(vm) < MAX_FAILURES
            && !self.missing.contains(&(vm, turn.to_owned()))
    }

    /// Returns whether a store may be asked without the hedge delay: no request is in flight and the store
    /// has not failed.
    fn may_ask_now(&self, vm: VmId) -> bool {
        self.in_flight.is_empty() && self.failures(vm) == 0
    }

    /// Marks a store as being asked, and returns the turns to ask it for.
    fn start_request(&mut self, vm: VmId, lacking: &[&Holding]) -> Vec<String> {
        let mut bytes = 0;
        let held = lacking
            .iter()
            .filter(|holding| holding.holders.contains(&vm) && self.may_have(vm, &holding.turn));
        let part = held.take_while(|holding| {
            let fits = bytes < MAX_FETCH_BYTES;
            bytes += holding.bytes;
            fits
        });
        let turns = part.map(|holding| holding.turn.to_string()).collect();
        self.in_flight.insert(vm);
        turns
    }

    /// Records a store's answer and returns its texts by turn.
    fn finish_request(&mut self, answer: FetchAnswer) -> HashMap<String, Text> {
        let vm = answer.source;
        self.in_flight.remove(&vm);
        let Some(texts) = answer.texts else {
            *self.failures.entry(vm).or_default() += 1;
            return HashMap::new();
        };
        let found: HashMap<String, Text> =
            texts.into_iter().map(|text| (text.turn.clone(), text)).collect();
        let missing = answer.turns.into_iter().filter(|turn| !found.contains_key(turn));
        self.missing.extend(missing.map(|turn| (vm, turn)));
        found
    }
}

fn concat(chain: &[Holding], found: &HashMap<String, Text>) -> Bytes {
    let texts = || chain.iter().filter_map(|holding| found.get(holding.turn.as_str()));
    let length = texts().map(|text| text.input.len() + text.output.len()).sum();
    let mut history = BytesMut::with_capacity(length);
    for text in texts() {
        history.extend_from_slice(&text.input);
        history.extend_from_slice(&text.output);
    }
    history.freeze()
}
