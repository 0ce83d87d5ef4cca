//! A trial from start to report.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use citronway_core::ids::EndpointName;
use citronway_core::shard::Assignment;

use super::churn;
use super::control;
use super::cpu;
use super::deployment::{Deployment, INSTANCES, endpoint_name, entry_name};
use super::options::LoadOptions;
use super::plan::Plan;
use super::report::{Broken, Report, WholeFigures, by_class};
use super::sender::{Sample, send_all};
use crate::caller::Balancer;
use crate::endpoint::EndpointOptions;
use crate::env::{Entry, Env, EnvError, Launcher, Policy, wait};
use crate::http::{Client, ClientError};
use crate::measure::{Promises, Record};
use crate::platform::messages::Stats;

/// Milliseconds that the platform's instance list lags behind.
const LIST_LAG_MS: u64 = 1000;
/// Milliseconds for which an endpoint is cold after its start.
const COLD_MS: u64 = 1000;
/// An endpoint sheds above so many times its slots.
const SHED_FACTOR: u32 = 4;

/// State of the deployment at one time.
#[derive(Debug)]
struct Snapshot {
    assignments: Vec<Assignment>,
    stats: Stats,
    cpu: Vec<(u32, Duration)>,
    control_bytes: Vec<(u32, f64)>,
}

/// Runs a trial, prints its report and writes it as JSON. The exit code tells
/// whether all promises were kept.
///
/// # Errors
///
/// If the deployment cannot be started or driven, or the file not be written.
pub async fn run(options: LoadOptions) -> Result<ExitCode, EnvError> {
    let mut env = start(&options).await?;
    let report = try_out(&mut env, &options).await?;
    println!("{report}");
    if let Some(file) = &options.json {
        let text = serde_json::to_string_pretty(&report).map_err(ClientError::from)?;
        std::fs::write(file, text).map_err(EnvError::io("write the report"))?;
    }
    if report.broken.any() {
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

async fn start(options: &LoadOptions) -> Result<Env, EnvError> {
    let deployment = options.deployment;
    let launcher = Launcher::this_program().map_err(EnvError::io("find this program"))?;
    let mut env = Env::start(launcher, LIST_LAG_MS)?;
    if options.keep_files {
        println!("files are kept in {}", env.keep_files().display());
    }
    if let Some(policy) = options.policy {
        env.set_policy(policy);
    }
    env.set_max_order(deployment.max_order_ms());
    let mut config = deployment.config();
    for size in deployment.sizes() {
        for number in 0..size.endpoints {
            let checks = Deployment::checks(number) && is_fenced(options.policy);
            let endpoint = EndpointOptions::new(&endpoint_name(size, number))
                .slots(size.slots)
                .service_ms(size.service_ms)
                .cold_ms(COLD_MS)
                .shed_above(SHED_FACTOR * size.slots)
                .checks(checks);
            let address = env.start_endpoint(endpoint)?.address();
            deployment.add_endpoint(&mut config, size, number, address);
            let name = EndpointName::new(&endpoint_name(size, number));
            config.endpoints[&name].checks_orders = checks;
        }
    }
    for number in 0..INSTANCES {
        env.start_entry(&entry_name(number), deployment.zone(number))
            .await?;
    }
    env.apply(&entry_name(0), &config).await?;
    env.all_healthy().await?;
    let services = deployment.sizes().len();
    let owned = async || env.platform().all_owned(services).await;
    wait("every shard is owned", owned).await?;
    Ok(env)
}

/// Whether an endpoint's orders come from one dispatcher. The baselines send from
/// every entry, which an endpoint that checks refuses.
fn is_fenced(policy: Option<Policy>) -> bool {
    matches!(policy, None | Some(Policy::Dispatcher))
}

async fn try_out(env: &mut Env, options: &LoadOptions) -> Result<Report, EnvError> {
    let (deployment, scenario) = (options.deployment, options.scenario);
    let length = Duration::from_secs(options.seconds.into());
    let plan = Plan::draw(deployment, scenario, length, options.seed);
    let entries = env.entries().map(Entry::callers).collect::<Vec<_>>();
    let balancer = Arc::new(Balancer::start(&entries));
    let before = snapshot(env).await?;
    let sending = send_all(&plan, balancer, deployment.client_delay());
    let (samples, played) = tokio::join!(sending, scenario.play(env, deployment, length));
    played?;
    let after = snapshot(env).await?;
    let records = samples.iter().map(|sample: &Sample| sample.record.clone());
    let records = records.collect::<Vec<_>>();
    let promises = Promises::check(&records, &env.evidence()?);
    print!("{}", promises.describe_overlaps());
    Ok(Report {
        deployment,
        policy: options.policy.map(crate::env::Policy::name),
        scenario,
        seed: options.seed,
        seconds: length.as_secs_f64(),
        classes: by_class(&samples, length),
        whole: whole(env, &before, &after, &records, length).await?,
        broken: Broken::from(&promises),
    })
}

async fn snapshot(env: &Env) -> Result<Snapshot, EnvError> {
    let pids = env.entries().map(|entry| entry.child.id());
    let cpu = pids.filter_map(|pid| Some((pid, cpu::used(pid)?)));
    Ok(Snapshot {
        assignments: env.platform().assignments().await?,
        stats: env.platform().stats().await?,
        cpu: cpu.collect(),
        control_bytes: control_bytes(env).await,
    })
}

async fn whole(
    env: &Env,
    before: &Snapshot,
    after: &Snapshot,
    records: &[Record],
    length: Duration,
) -> Result<WholeFigures, EnvError> {
    let cores = cores(before, after, length);
    let rates = control_rates(before, after, length);
    let reads = after.stats.reads - before.stats.reads;
    let mut whole = WholeFigures {
        shard_imbalance: churn::imbalance(&after.assignments),
        moved: churn::moved(&before.assignments, &after.assignments),
        store_bytes: after.stats.bytes - before.stats.bytes,
        store_reads: reads as f64 / length.as_secs_f64(),
        store_writes: after.stats.writes - before.stats.writes,
        control_bytes: mean(&rates),
        cpu_mean: mean(&cores),
        cpu_max: cores.iter().copied().reduce(f64::max),
        ..WholeFigures::default()
    };
    whole.add_gaps(records, length);
    add_endpoints(env, &mut whole).await?;
    Ok(whole)
}

async fn control_bytes(env: &Env) -> Vec<(u32, f64)> {
    let client = Client::default();
    let mut all = Vec::new();
    for entry in env.entries() {
        let Some(bytes) = control::bytes(&client, entry).await else {
            continue;
        };
        all.push((entry.child.id(), bytes));
    }
    all
}

/// Control bytes a second of each entry that ran throughout and tells.
fn control_rates(before: &Snapshot, after: &Snapshot, length: Duration) -> Vec<f64> {
    let mut rates = Vec::new();
    for (pid, bytes) in &after.control_bytes {
        for (earlier_pid, earlier) in &before.control_bytes {
            if earlier_pid == pid {
                rates.push((bytes - earlier) / length.as_secs_f64());
            }
        }
    }
    rates
}

/// CPU time of entries that ran throughout, as parts of one core.
fn cores(before: &Snapshot, after: &Snapshot, length: Duration) -> Vec<f64> {
    let mut cores = Vec::new();
    for (pid, used) in &after.cpu {
        for (earlier_pid, earlier) in &before.cpu {
            if earlier_pid != pid {
                continue;
            }
            let used = used.saturating_sub(*earlier);
            cores.push(used.as_secs_f64() / length.as_secs_f64());
        }
    }
    cores
}

fn mean(numbers: &[f64]) -> Option<f64> {
    let count = numbers.len();
    (count > 0).then(|| numbers.iter().sum::<f64>() / count as f64)
}

async fn add_endpoints(env: &Env, whole: &mut WholeFigures) -> Result<(), EnvError> {
    let mut runs_of_service = indexmap::IndexMap::<_, Vec<f64>>::new();
    for endpoint in env.endpoints() {
        let name = &endpoint.options().name;
        let service = name
            .rsplit_once('-')
            .map_or(name.as_str(), |(service, _)| service);
        let runs = endpoint.runs()?.len() as f64;
        runs_of_service.entry(service).or_default().push(runs);
        // A killed endpoint does not answer; its peak is not known.
        let Ok(journal) = endpoint.journal().await else {
            continue;
        };
        let above = journal.peak_running.saturating_sub(journal.slots);
        whole.peak_above_slots = whole.peak_above_slots.max(above);
        whole.shed += journal.refused.shed;
    }
    for runs in runs_of_service.values() {
        let imbalance = churn::max_over_mean(runs.iter().copied());
        whole.run_imbalance = whole.run_imbalance.max(imbalance);
    }
    Ok(())
}
