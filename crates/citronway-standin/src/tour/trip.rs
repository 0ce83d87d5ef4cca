//! The tour from start to report.

use std::process::ExitCode;
use std::sync::Arc;

use super::deployment;
use super::loss::Stage;
use super::options::TourOptions;
use super::report::{Part, Report};
use super::traffic::Traffic;
use crate::caller::Balancer;
use crate::env::{Entry, EnvError};
use crate::measure::Promises;

/// Runs the tour and prints its report.
///
/// # Errors
///
/// If the deployment cannot be started or driven.
pub async fn run(options: TourOptions) -> Result<ExitCode, EnvError> {
    let mut env = deployment::start(options).await?;
    println!("deployment started");
    let entries = env.entries().map(Entry::callers).collect::<Vec<_>>();
    let balancer = Arc::new(Balancer::start(&entries));
    let traffic = Traffic::start(balancer);
    let mut parts = Vec::new();
    for stage in Stage::ALL {
        println!("{}", stage.title());
        let from = traffic.elapsed();
        stage.play(&mut env).await?;
        let until = traffic.elapsed();
        parts.push(Part { stage, from, until });
    }
    let records = traffic.stop().await;
    let promises = Promises::check(&records, &env.evidence()?);
    let report = Report {
        parts: &parts,
        records: &records,
        promises: &promises,
    };
    println!("\n{report}");
    if report.is_good() {
        return Ok(ExitCode::SUCCESS);
    }
    println!("a promise was broken or a key was not served again");
    Ok(ExitCode::FAILURE)
}
