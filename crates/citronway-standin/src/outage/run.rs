//! Runs a trial from start to report.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use super::faults::Faults;
use super::options::OutageOptions;
use super::report::Report;
use crate::caller::Balancer;
use crate::env::{Entry, Env, EnvError, Launcher};
use crate::measure::{Promises, Record};
use crate::platform::PlatformFaults;
use crate::trial::{Deployment, Links, Mix, Traffic, TrafficPlan};

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 4;
/// Endpoints from this number on do not check orders.
const UNCHECKED_FROM: usize = 2;
const TICK: Duration = Duration::from_millis(3);
const KEYS: u32 = 96;

/// Runs a trial and prints the report.
///
/// # Errors
///
/// If the deployment cannot be started or does not become whole again.
pub async fn run(options: OutageOptions) -> Result<ExitCode, EnvError> {
    let launcher = Launcher::this_program().map_err(EnvError::io("find this program"))?;
    let deployment = Deployment::new(ENDPOINTS).unchecked_from(UNCHECKED_FROM);
    let (mut env, links) = deployment.start_linked(launcher).await?;
    if options.keep_files {
        println!("files are kept in {}", env.keep_files().display());
    }
    let report = match options.requests {
        Some(requests) => random(requests, &options, &deployment, &mut env, &links).await?,
        None => outage(&options, &env).await?,
    };
    println!("{report}");
    if let Some(path) = &options.json {
        let json = serde_json::to_vec_pretty(&report).map_err(crate::http::ClientError::from)?;
        std::fs::write(path, json).map_err(EnvError::io("write the report"))?;
    }
    if report.is_good() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("a promise was broken, or the outage cost a call");
    Ok(ExitCode::FAILURE)
}

fn start_traffic(env: &Env, plan: TrafficPlan) -> Traffic {
    let entries = env.entries().map(Entry::callers).collect::<Vec<_>>();
    Traffic::start(plan, Arc::new(Balancer::start(&entries)))
}

async fn outage(options: &OutageOptions, env: &Env) -> Result<Report, EnvError> {
    let plan = TrafficPlan {
        tick: TICK,
        keys: KEYS,
        ..TrafficPlan::default()
    };
    let traffic = start_traffic(env, plan);
    traffic.all_served().await?;
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let from = traffic.elapsed();
    env.platform().set_faults(&down).await?;
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let until = traffic.elapsed();
    env.platform()
        .set_faults(&PlatformFaults::default())
        .await?;
    traffic.all_served().await?;
    let records = traffic.stop().await;
    let promises = Promises::check(&records, &env.evidence()?);
    let inside = |record: &&Record| (from..until).contains(&record.intended);
    let counted = records.iter().filter(inside).collect::<Vec<_>>();
    let mut report = Report::new(options.seed, &counted, &promises);
    report.outage_s = Some(options.seconds);
    Ok(report)
}

async fn random(
    requests: u32,
    options: &OutageOptions,
    deployment: &Deployment,
    env: &mut Env,
    links: &Links,
) -> Result<Report, EnvError> {
    let plan = TrafficPlan {
        tick: Duration::from_millis(1),
        keys: KEYS,
        mix: Mix::NonIdempotent,
        calls: Some(requests),
        ..TrafficPlan::default()
    };
    let traffic = start_traffic(env, plan);
    let mut faults = Faults::new(options.seed, ENTRIES, ENDPOINTS);
    while !traffic.is_done() {
        faults.next(env, links, deployment).await?;
    }
    let records = traffic.stop().await;
    let promises = Promises::check(&records, &env.evidence()?);
    let counted = records.iter().collect::<Vec<_>>();
    let mut report = Report::new(options.seed, &counted, &promises);
    report.faults = faults.counts;
    Ok(report)
}
