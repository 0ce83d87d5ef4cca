//! The configurations of the load tool are accepted as operators' would be.

use std::net::{Ipv4Addr, SocketAddr};

use citronway_core::config::CompiledConfig;
use citronway_standin::load::Deployment;
use googletest::prelude::*;

fn compiled(deployment: Deployment) -> std::result::Result<(), String> {
    let mut config = deployment.config();
    let mut port = 20_000;
    for size in deployment.sizes() {
        for number in 0..size.endpoints {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            deployment.add_endpoint(&mut config, size, number, address);
            port += 1;
        }
    }
    let compiled = CompiledConfig::new(config);
    compiled
        .map(|_accepted| ())
        .map_err(|findings| findings.to_string())
}

#[gtest]
fn the_configurations_of_both_deployments_are_accepted() {
    expect_that!(compiled(Deployment::Migrakon), ok(anything()));
    expect_that!(compiled(Deployment::Vatuwaqa), ok(anything()));
}
