//! Command line tool that runs the stand-ins as separate processes.

use std::net::SocketAddr;

use anyhow::Context as _;
use clap::{Args, Parser, Subcommand};
use compact_str::CompactString;
use gypsumglade_standin::announce::{AnnounceSettings, ModelVersion};
use gypsumglade_standin::engine::{Engine, EngineSettings};
use gypsumglade_standin::load::{self, Arrivals, LoadSettings};
use gypsumglade_standin::service::{Service, ServiceSettings};
use gypsumglade_standin::weights::{WeightSettings, WeightStore};

/// Stand-ins for the systems that gypsumglade works with.
#[derive(Parser)]
#[command(version)]
struct Command {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a model engine until interrupted; a second interrupt stops it at once.
    Engine(EngineArgs),
    /// Run a plain service until interrupted; a second interrupt stops it at once.
    Service(ServiceArgs),
    /// Run a weight store until interrupted.
    Weights(WeightArgs),
    /// Run programs against the system and print the measurements as JSON.
    Load(LoadArgs),
}

/// Arguments that the engine and the service share.
#[derive(Args)]
struct EndpointArgs {
    /// Instance name.
    #[arg(long)]
    name: CompactString,
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Base URL of an entry's listener for endpoints; repeat it for more entries.
    #[arg(long = "entry")]
    entries: Vec<CompactString>,
    /// Token with which endpoints of the deployment authenticate.
    #[arg(long, default_value = "")]
    token: CompactString,
    /// Failure domain.
    #[arg(long, default_value = "local")]
    domain: CompactString,
    /// Region.
    #[arg(long, default_value = "local")]
    region: CompactString,
    /// Length of the announced lease in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    lease_ms: u64,
    /// Maximum number of calls that run at the same time.
    #[arg(long, default_value_t = 8)]
    slots: u32,
}

impl EndpointArgs {
    fn announce(&self) -> AnnounceSettings {
        AnnounceSettings {
            entries: self.entries.clone(),
            token: self.token.clone(),
            lease_ms: self.lease_ms,
        }
    }
}

#[derive(Args)]
struct EngineArgs {
    #[command(flatten)]
    place: EndpointArgs,
    /// Loaded model as MODEL@VERSION; repeat it for more models.
    #[arg(long = "model", default_value = "advisor@1")]
    models: Vec<String>,
    /// Prompt tokens processed per second in each slot.
    #[arg(long, default_value_t = 20_000)]
    prefill_rate: u64,
    /// Tokens generated per second in each slot.
    #[arg(long, default_value_t = 500)]
    decode_rate: u64,
    /// Size of the prefix cache in tokens.
    #[arg(long, default_value_t = 100_000)]
    cache_tokens: u64,
    /// Tokens in an answer, unless the caller's limit is lower.
    #[arg(long, default_value_t = 16)]
    answer_tokens: u64,
    /// Accept orders with a stale fencing number.
    #[arg(long)]
    no_fencing: bool,
    /// Base URL of a weight store.
    #[arg(long)]
    weights: Option<CompactString>,
}

#[derive(Args)]
struct ServiceArgs {
    #[command(flatten)]
    place: EndpointArgs,
    /// Service that this is an instance of.
    #[arg(long, default_value = "booking")]
    service: CompactString,
    /// Duration of an operation in milliseconds.
    #[arg(long, default_value_t = 5)]
    work_ms: u64,
}

#[derive(Args)]
struct WeightArgs {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Transfer rate in bytes per second, shared by all readers.
    #[arg(long, default_value_t = 64 << 20)]
    rate: u64,
    /// Size of each model version in bytes.
    #[arg(long, default_value_t = 1 << 20)]
    size: u64,
}

#[derive(Args)]
struct LoadArgs {
    /// Base URL of a listener for callers; repeat it for more listeners.
    #[arg(long = "base", required = true)]
    bases: Vec<CompactString>,
    /// API key of the organisation.
    #[arg(long)]
    key: CompactString,
    /// Agent program of the bundle.
    #[arg(long, default_value = "")]
    agent: CompactString,
    /// Requested model.
    #[arg(long, default_value = "advisor")]
    model: CompactString,
    /// Total number of programs.
    #[arg(long, default_value_t = 100)]
    programs: u64,
    /// Programs that run at the same time, unless `--rate` is given.
    #[arg(long, default_value_t = 8)]
    width: usize,
    /// Programs started per second, whether or not earlier ones have ended.
    #[arg(long)]
    rate: Option<f64>,
    /// Model calls in each program.
    #[arg(long, default_value_t = 4)]
    turns: u64,
    /// Words in each user message.
    #[arg(long, default_value_t = 40)]
    words: u64,
    /// Maximum tokens in each answer.
    #[arg(long, default_value_t = 64)]
    output: u64,
    /// Ask for whole answers instead of streams.
    #[arg(long)]
    whole: bool,
    /// Tool to call after each model call, as SERVICE/OPERATION.
    #[arg(long, default_value = "")]
    tool: CompactString,
    /// Prefix of program names; use a new one for each run.
    #[arg(long, default_value = "load")]
    prefix: CompactString,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Command::parse().verb {
        Verb::Engine(args) => engine(args).await,
        Verb::Service(args) => service(args).await,
        Verb::Weights(args) => weights(args).await,
        Verb::Load(args) => load(args).await,
    }
}

async fn engine(args: EngineArgs) -> anyhow::Result<()> {
    let announce = args.place.announce();
    let engine = Engine::start(EngineSettings {
        name: args.place.name,
        listen: args.place.listen,
        domain: args.place.domain,
        region: args.place.region,
        models: args.models.iter().map(|m| ModelVersion::parse(m)).collect(),
        slots: args.place.slots,
        prefill_rate: args.prefill_rate,
        decode_rate: args.decode_rate,
        cache_tokens: args.cache_tokens,
        answer_tokens: args.answer_tokens,
        fencing: !args.no_fencing,
        weights: args.weights,
        announce,
        ..EngineSettings::default()
    })
    .await?;
    println!("listening on {}", engine.address());
    interrupt().await?;
    until_second_interrupt(engine.leave()).await
}

async fn service(args: ServiceArgs) -> anyhow::Result<()> {
    let announce = args.place.announce();
    let service = Service::start(ServiceSettings {
        name: args.place.name,
        service: args.service,
        listen: args.place.listen,
        domain: args.place.domain,
        region: args.place.region,
        slots: args.place.slots,
        work_ms: args.work_ms,
        announce,
        ..ServiceSettings::default()
    })
    .await?;
    println!("listening on {}", service.address());
    interrupt().await?;
    until_second_interrupt(service.leave()).await
}

async fn weights(args: WeightArgs) -> anyhow::Result<()> {
    let settings = WeightSettings { listen: args.listen, rate: args.rate, size: args.size };
    let store = WeightStore::start(settings).await?;
    println!("listening on {}", store.address());
    interrupt().await
}

async fn load(args: LoadArgs) -> anyhow::Result<()> {
    let arrivals = args.rate.map_or(Arrivals::Closed(args.width), Arrivals::Open);
    let report = load::run(LoadSettings {
        base_urls: args.bases,
        api_key: args.key,
        agent: args.agent,
        model: args.model,
        programs: args.programs,
        arrivals,
        turns: args.turns,
        prompt_words: args.words,
        max_tokens: args.output,
        stream: !args.whole,
        tool: args.tool,
        prefix: args.prefix,
        ..LoadSettings::default()
    })
    .await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    let failed = report.begun - report.finished;
    anyhow::ensure!(failed == 0, "{failed} of {} programs did not finish", report.begun);
    Ok(())
}

/// Waits for SIGINT or SIGTERM.
async fn interrupt() -> anyhow::Result<()> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result.context("can't wait for an interrupt"),
        _ = terminate.recv() => Ok(()),
    }
}

async fn until_second_interrupt(leaving: impl Future<Output = ()>) -> anyhow::Result<()> {
    tokio::select! {
        () = leaving => Ok(()),
        result = interrupt() => result,
    }
}
