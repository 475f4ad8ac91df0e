use crate::ini::{Document, SectionReader};
use crate::{
    CallerConfig, ConfigFaults, JournalConfig, OrganisationConfig, ProviderConfig, RouteConfig,
    TargetConfig, TierConfig,
};
use agatecourse_types::ZoneId;
use serde::Serialize;
use std::collections::BTreeMap;

/// Configuration of the whole deployment, the same on all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetConfig {
    /// Name of the deployment.
    pub name: String,
    /// Name of the deployment's region.
    pub region: String,
    /// Names of the deployment's availability zones; each target is in one of them.
    pub zones: Vec<ZoneId>,
    /// Largest accepted request body in bytes.
    pub body_limit_bytes: usize,
    /// Tiers by name.
    pub tiers: BTreeMap<String, TierConfig>,
    /// Organisations by name.
    pub organisations: BTreeMap<String, OrganisationConfig>,
    /// Callers by name.
    pub callers: BTreeMap<String, CallerConfig>,
    /// Routes by name.
    pub routes: BTreeMap<String, RouteConfig>,
    /// Targets by name.
    pub targets: BTreeMap<String, TargetConfig>,
    /// Providers by name.
    pub providers: BTreeMap<String, ProviderConfig>,
    /// Limits of the journal.
    pub journal: JournalConfig,
}

const SECTION_KINDS: &str = "fleet, journal, tier.<name>, organisation.<name>, caller.<name>, \
                             route.<name>, target.<name>, provider.<name>";

impl FleetConfig {
    /// Parses a configuration and collects the faults of the whole file.
    ///
    /// # Errors
    ///
    /// Returns all faults, in the order of their lines, when there is at least one.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigFaults> {
        let mut document = Document::parse(file, text);
        let mut config = Self::with_defaults();
        let mut has_fleet = false;
        for section in document.sections.clone() {
            has_fleet |= section.header == "fleet";
            config.read_section(&mut document, section);
        }
        if !has_fleet {
            document.add_fault(0, "fleet", "section is missing; expected once".to_string());
        }
        config.check_counts(&mut document);
        config.check_references(&mut document);
        document.finish(config)
    }

    fn with_defaults() -> Self {
        Self {
            name: String::new(),
            region: String::new(),
            zones: Vec::new(),
            body_limit_bytes: 4 * 1024 * 1024,
            tiers: BTreeMap::new(),
            organisations: BTreeMap::new(),
            callers: BTreeMap::new(),
            routes: BTreeMap::new(),
            targets: BTreeMap::new(),
            providers: BTreeMap::new(),
            journal: JournalConfig::default(),
        }
    }

    fn read_section(&mut self, document: &mut Document, section: crate::ini::Section) {
        let (kind, header, line) = (section.kind.clone(), section.header.clone(), section.line);
        let mut reader = SectionReader::new(document, section);
        match kind.as_str() {
            "fleet" if header == "fleet" => {
                self.name = reader.text("name", "the name of the deployment");
                self.region = reader.text("region", "the name of the region");
                self.zones = reader.list("zones", "the names of zones, separated by commas");
                let default = self.body_limit_bytes;
                self.body_limit_bytes =
                    reader.number("body_limit_bytes", default, 1_024, 64 * 1024 * 1024);
                reader.finish("name, region, zones, body_limit_bytes");
            }
            "journal" if header == "journal" => self.journal = JournalConfig::read(reader),
            "tier" => insert(&mut self.tiers, TierConfig::read(reader), |value| &value.name),
            "organisation" => {
                let value = OrganisationConfig::read(reader);
                insert(&mut self.organisations, value, |value| &value.name);
            }
            "caller" => insert(&mut self.callers, CallerConfig::read(reader), |value| &value.name),
            "route" => insert(&mut self.routes, RouteConfig::read(reader), |value| &value.name),
            "target" => insert(&mut self.targets, TargetConfig::read(reader), |value| &value.name),
            "provider" => {
                insert(&mut self.providers, ProviderConfig::read(reader), |value| &value.name);
            }
            _ => {
                let message = format!("unknown section; expected one of {SECTION_KINDS}");
                document.add_fault(line, &header, message);
            }
        }
    }

    fn check_counts(&self, document: &mut Document) {
        let counts = [
            ("tier", self.tiers.len()),
            ("organisation", self.organisations.len()),
            ("caller", self.callers.len()),
            ("route", self.routes.len()),
            ("target", self.targets.len()),
        ];
        for (kind, count) in counts {
            if count == 0 {
                let message = format!("no section `[{kind}.<name>]`; expected at least one");
                document.add_fault(0, kind, message);
            }
        }
    }

    fn check_references(&self, document: &mut Document) {
        for section in document.sections.clone() {
            let Some(name) = section.name.clone() else { continue };
            let mut reader = SectionReader::new(document, section.clone());
            match section.kind.as_str() {
                "tier" => self.check_tier(&name, &mut reader),
                "caller" => self.check_caller(&name, &mut reader),
                "target" => self.check_target(&name, &mut reader),
                "route" => self.check_route(&name, &mut reader),
                _ => {}
            }
        }
    }

    fn check_tier(&self, name: &str, reader: &mut SectionReader<'_>) {
        let Some(tier) = self.tiers.get(name) else { return };
        let duplicate =
            self.tiers.values().find(|other| other.rank == tier.rank && other.name < tier.name);
        if let Some(duplicate) = duplicate {
            let message = format!(
                "rank {} is already used by tier `{}`; expected another",
                tier.rank, duplicate.name
            );
            reader.fault_at("rank", message);
        }
    }

    fn check_caller(&self, name: &str, reader: &mut SectionReader<'_>) {
        let Some(caller) = self.callers.get(name) else { return };
        check_defined(reader, "organisation", &caller.organisation, &self.organisations);
        check_defined(reader, "tier", &caller.tier, &self.tiers);
        for route in &caller.routes {
            check_defined(reader, "routes", route, &self.routes);
        }
        let duplicate = self
            .callers
            .values()
            .find(|other| other.key_sha256 == caller.key_sha256 && other.name < caller.name);
        if let Some(duplicate) = duplicate.filter(|_| !caller.key_sha256.is_empty()) {
            let message =
                format!("key is already used by caller `{}`; expected another", duplicate.name);
            reader.fault_at("key_sha256", message);
        }
    }

    fn check_target(&self, name: &str, reader: &mut SectionReader<'_>) {
        let Some(target) = self.targets.get(name) else { return };
        for route in &target.routes {
            check_defined(reader, "routes", route, &self.routes);
        }
        if !target.zone.is_empty() && !self.zones.contains(&target.zone) {
            let message = format!(
                "zone `{}` is not in `zones` of [fleet]; expected one of them",
                target.zone
            );
            reader.fault_at("zone", message);
        }
        if let Some(provider) = &target.provider {
            check_defined(reader, "provider", provider, &self.providers);
        }
        let duplicate = self
            .targets
            .values()
            .find(|other| other.address == target.address && other.name < target.name);
        if let Some(duplicate) = duplicate.filter(|_| target.address.port() != 0) {
            let message =
                format!("address is already used by target `{}`; expected another", duplicate.name);
            reader.fault_at("address", message);
        }
    }

    fn check_route(&self, name: &str, reader: &mut SectionReader<'_>) {
        let is_served = self.targets.values().any(|target| target.routes.iter().any(|r| r == name));
        if !is_served {
            reader.fault_at("", "no target serves the route; expected at least one".to_string());
        }
    }
}

fn insert<T>(map: &mut BTreeMap<String, T>, value: T, name: impl Fn(&T) -> &String) {
    let key = name(&value).clone();
    if !key.is_empty() {
        map.insert(key, value);
    }
}

fn check_defined<T>(
    reader: &mut SectionReader<'_>,
    key: &str,
    name: &str,
    defined: &BTreeMap<String, T>,
) {
    if !name.is_empty() && !defined.contains_key(name) {
        let names: Vec<&str> = defined.keys().map(String::as_str).collect();
        reader.fault_at(
            key,
            format!("`{name}` is not defined; expected one of {}", names.join(", ")),
        );
    }
}

#[cfg(test)]
mod tests;
