//! Kills, one after the other, each in a deployment that is whole again.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use super::options::LossesOptions;
use super::report::{Loss, Report, Series, Victim};
use crate::caller::Balancer;
use crate::env::{Entry, Env, EnvError, Launcher, wait};
use crate::measure::Promises;
use crate::trial::{Deployment, Traffic, TrafficPlan, endpoint_name};

const ENDPOINTS: usize = 4;
/// Time between two calls; each key is called every 24 times this.
const TICK: Duration = Duration::from_millis(3);
/// How long after all keys were served further calls without answer are looked for.
const WATCH: Duration = Duration::from_millis(500);

/// Measures all kinds of losses and prints the report.
///
/// # Errors
///
/// If a deployment cannot be started or does not become whole again.
pub async fn run(options: LossesOptions) -> Result<ExitCode, EnvError> {
    let mut report = Report::default();
    for victim in [Victim::Dispatcher, Victim::Endpoint] {
        for checks in [true, false] {
            println!("{victim:?}, endpoints check: {checks}");
            let series = measure(victim, checks, &options).await?;
            report.series.push(series);
        }
    }
    println!("\n{report}");
    if let Some(path) = &options.json {
        let json = serde_json::to_vec_pretty(&report).map_err(crate::http::ClientError::from)?;
        std::fs::write(path, json).map_err(EnvError::io("write the report"))?;
    }
    if report.is_good() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("a promise was broken");
    Ok(ExitCode::FAILURE)
}

async fn measure(
    victim: Victim,
    checks: bool,
    options: &LossesOptions,
) -> Result<Series, EnvError> {
    let launcher = Launcher::this_program().map_err(EnvError::io("find this program"))?;
    let deployment = Deployment::new(ENDPOINTS).checks(checks);
    let mut env = deployment.start(launcher).await?;
    if options.keep_files {
        println!("files are kept in {}", env.keep_files().display());
    }
    let entries = env.entries().map(Entry::callers).collect::<Vec<_>>();
    let plan = TrafficPlan {
        tick: TICK,
        ..TrafficPlan::default()
    };
    let traffic = Traffic::start(plan, Arc::new(Balancer::start(&entries)));
    traffic.all_served().await?;
    let mut losses = Vec::new();
    for number in 0..options.losses {
        let endpoint = endpoint_name(number % ENDPOINTS);
        let loss = lose(&mut env, &deployment, &traffic, victim, &endpoint).await?;
        println!("{:>3}: {:>6} ms", number + 1, loss.all_served_ms);
        losses.push(loss);
    }
    let records = traffic.stop().await;
    let promises = Promises::check(&records, &env.evidence()?);
    Ok(Series::new((victim, checks), losses, &records, &promises))
}

async fn lose(
    env: &mut Env,
    deployment: &Deployment,
    traffic: &Traffic,
    victim: Victim,
    endpoint: &str,
) -> Result<Loss, EnvError> {
    let rows = env.platform().dispatch_rows().await?;
    let row = rows.iter().find(|row| row.endpoint.as_str() == endpoint);
    let dispatcher = row.map(|row| row.dispatcher.instance.to_string());
    let dispatcher = dispatcher.unwrap_or_default();
    let killed = traffic.elapsed();
    match victim {
        Victim::Dispatcher => env.entry_mut(&dispatcher)?.child.kill()?,
        Victim::Endpoint => env.endpoint_mut(endpoint)?.kill(),
    }
    let all_served = traffic.all_served().await?;
    tokio::time::sleep(WATCH).await;
    match victim {
        Victim::Dispatcher => drop(env.restart_entry(&dispatcher).await?),
        Victim::Endpoint => {
            let name = citronway_core::ids::EndpointName::new(endpoint);
            let moved = async || env.platform().owns_nothing(&name).await;
            wait("its keys have gone to others", moved).await?;
            env.restart_endpoint(endpoint)?;
        }
    }
    deployment.settled(env).await?;
    traffic.all_served().await?;
    Ok(Loss {
        all_served_ms: millis(all_served),
        last_unanswered_ms: last_unanswered(traffic, killed),
    })
}

fn last_unanswered(traffic: &Traffic, killed: Duration) -> u64 {
    let records = traffic.records();
    let after = records.iter().filter(|record| record.intended >= killed);
    let unanswered = after.filter(|record| !record.is_answered());
    let last = unanswered.map(|record| record.intended).max();
    millis(last.unwrap_or(killed).saturating_sub(killed))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
