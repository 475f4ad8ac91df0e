use agatecourse_config::{FleetConfig, RouteKind, TargetConfig};
use agatecourse_standin::{EngineSettings, ServiceSettings, Standin};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Stand-in for one target of the configuration, with the stand-ins that it replaced after crashes.
#[derive(Debug)]
pub struct Target {
    parameters: StandinParameters,
    standin: Standin,
    /// Stand-ins that crashed, kept because their execution counts are part of the totals.
    crashed_standins: Vec<Standin>,
}

/// Parameters for starting the stand-in of a target, kept for restarts.
#[derive(Debug)]
struct StandinParameters {
    config: TargetConfig,
    is_engine: bool,
    weight_store: SocketAddr,
    service_time: Duration,
}

impl Target {
    /// Starts the stand-in on an ephemeral port, with the token rates and concurrency of the configuration.
    pub(crate) fn start(
        config: &TargetConfig,
        fleet: &FleetConfig,
        weight_store: SocketAddr,
        service_time: Duration,
    ) -> io::Result<Self> {
        let mut kinds = config.routes.iter().filter_map(|route| fleet.routes.get(route));
        let is_engine = kinds.any(|route| route.kind == RouteKind::Model);
        let config = config.clone();
        let parameters = StandinParameters { config, is_engine, weight_store, service_time };
        Ok(Self {
            standin: parameters.start_standin(Standin::EPHEMERAL)?,
            parameters,
            crashed_standins: Vec::new(),
        })
    }

    /// Returns the name that the configuration gives the target.
    pub fn name(&self) -> &str {
        &self.parameters.config.name
    }

    /// Returns whether the target serves a model route; otherwise it is a service.
    pub fn is_engine(&self) -> bool {
        self.parameters.is_engine
    }

    /// Returns the VM that the configuration places the target on.
    pub fn vm(&self) -> &str {
        &self.parameters.config.vm
    }

    /// Returns the availability zone of the target.
    pub fn zone(&self) -> &str {
        &self.parameters.config.zone
    }

    /// Returns the stand-in that currently serves the target's address.
    pub fn standin(&self) -> &Standin {
        &self.standin
    }

    /// Replaces a crashed stand-in by a new one on the same address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub fn restart(&mut self) -> io::Result<()> {
        let address = self.standin.address();
        self.standin.stop();
        let started = self.parameters.start_standin(address)?;
        self.crashed_standins.push(std::mem::replace(&mut self.standin, started));
        Ok(())
    }

    /// Returns how often the target ran a request, summed over all restarts.
    pub fn runs_of(&self, request_id: &str) -> u64 {
        self.standins().map(|standin| standin.runs_of(request_id)).sum()
    }

    /// Returns the request id and time of each execution, over all restarts.
    pub fn run_times(&self) -> Vec<(String, u64)> {
        self.standins().flat_map(Standin::run_times).collect()
    }

    fn standins(&self) -> impl Iterator<Item = &Standin> {
        self.crashed_standins.iter().chain([&self.standin])
    }
}

impl StandinParameters {
    fn start_standin(&self, address: SocketAddr) -> io::Result<Standin> {
        let config = &self.config;
        if !self.is_engine {
            let service = ServiceSettings::new(&config.name).with_service_time(self.service_time);
            return service.start(address);
        }
        let token_time = Duration::from_secs(1) / config.write_tokens_per_s.max(1);
        let engine = EngineSettings::new(&config.name)
            .with_version(config.version.clone())
            .with_read_tokens_per_s(config.read_tokens_per_s)
            .with_token_time(token_time)
            .with_batch_limit(config.concurrency as usize)
            .with_weight_store(self.weight_store);
        let engine = if config.checks_fencing { engine.with_fencing_check() } else { engine };
        engine.start(address)
    }
}
