use crate::{Answers, CallerAnswers, TargetGroupAnswers};
use agatecourse_config::{ConfigFaults, FleetConfig};
use sha2::{Digest, Sha256};
use snafu::{ResultExt, Snafu};
use std::fmt::{Display, Write};
use std::net::SocketAddr;

/// Weight of a large organisation; a small one has weight 1.
const LARGE_WEIGHT: u32 = 3;
/// Concurrency limit of an organisation, in seconds of requests at its rate limit; waiting requests count too.
const CONCURRENCY_SECONDS: u32 = 20;
/// Length of a generated API key in random bytes; the text has two hexadecimal digits for each.
const KEY_BYTES: usize = 24;

/// API key generated for a caller; the configuration contains only its hash.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IssuedKey {
    /// Name of the caller.
    pub caller: String,
    /// API key in plain text, to be shown once.
    pub key: String,
}

/// Generated and validated fleet configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedConfig {
    /// Fleet configuration as INI text, with a comment on the origin of each value.
    pub text: String,
    /// The same configuration after parsing and validation.
    pub config: FleetConfig,
    /// API keys generated for callers whose answers contain no hash.
    pub issued_keys: Vec<IssuedKey>,
    /// Messages to the operator about what the answers leave undecided, such as a missing spending limit.
    pub undecided: Vec<String>,
}

/// Error of [`generate`].
#[derive(Debug, Snafu)]
pub enum GenerateError {
    /// The configuration checker rejects the generated configuration.
    #[snafu(display("the answers do not fit together:\n{source}"))]
    Rejected {
        /// Validation errors, with line numbers of the generated configuration.
        source: ConfigFaults,
    },
    /// The operating system returned no random bytes for an API key.
    #[snafu(display("no random bytes for an API key: {message}"))]
    NoRandom {
        /// Error returned by the operating system.
        message: String,
    },
}

/// Generates a fleet configuration and validates it with the checker that the nodes use.
///
/// # Errors
///
/// Returns a [`GenerateError`] when the configuration is rejected, for example because an answer refers to an undefined
/// name, or when no API key can be generated.
pub fn generate(answers: &Answers) -> Result<GeneratedConfig, GenerateError> {
    let mut writer = CommentedIniWriter::default();
    let mut issued_keys = Vec::new();
    write_fleet(&mut writer, answers);
    write_tiers(&mut writer, answers);
    write_organisations(&mut writer, answers);
    for caller in &answers.callers {
        write_caller(&mut writer, caller, &mut issued_keys)?;
    }
    write_routes(&mut writer, answers);
    write_providers(&mut writer, answers);
    for group in &answers.target_groups {
        write_targets(&mut writer, group, &answers.zones);
    }
    let config = FleetConfig::parse("generated", &writer.text).context(RejectedSnafu)?;
    let undecided = list_undecided(answers);
    Ok(GeneratedConfig { text: writer.text, config, issued_keys, undecided })
}

/// Writer of INI text in which a comment above each value names the answer that it comes from.
#[derive(Debug, Default)]
struct CommentedIniWriter {
    text: String,
}

impl CommentedIniWriter {
    /// Starts a section, after an empty line unless it is the first one.
    fn write_section(&mut self, header: &str) {
        let gap = if self.text.is_empty() { "" } else { "\n" };
        self.write_line(&format!("{gap}[{header}]"));
    }

    /// Writes a value below a comment that names its origin.
    fn write_value(&mut self, key: &str, value: impl Display, origin: &str) {
        self.write_line(&format!("; {origin}"));
        self.write_line(&format!("{key} = {value}"));
    }

    fn write_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").expect("writing to a String never fails");
    }
}

fn write_fleet(writer: &mut CommentedIniWriter, answers: &Answers) {
    writer.write_section("fleet");
    writer.write_value("name", &answers.name, "answer [deployment] name");
    writer.write_value("region", &answers.region, "answer [deployment] region");
    writer.write_value("zones", answers.zones.join(", "), "answer [deployment] zones");
}

fn write_tiers(writer: &mut CommentedIniWriter, answers: &Answers) {
    let order = ["severe", "high", "moderate", "low"];
    let mut tiers = answers.tiers.clone();
    tiers.sort_by_key(|tier| order.iter().position(|cost| *cost == tier.late_cost));
    for (rank, tier) in tiers.iter().enumerate() {
        writer.write_section(&format!("tier.{}", tier.name));
        let origin =
            format!("answer [tier.{}] late_cost = {}, ordered by cost", tier.name, tier.late_cost);
        writer.write_value("rank", rank, &origin);
        let origin = format!("answer [tier.{}] deadline_s = {}", tier.name, tier.deadline_s);
        writer.write_value("deadline_ms", tier.deadline_s * 1_000, &origin);
    }
}

fn write_organisations(writer: &mut CommentedIniWriter, answers: &Answers) {
    for (name, large, rate_per_s) in &answers.organisations {
        writer.write_section(&format!("organisation.{name}"));
        let size = if *large { "large" } else { "small" };
        let origin = format!("answer [organisation.{name}] size = {size}");
        writer.write_value("weight", if *large { LARGE_WEIGHT } else { 1 }, &origin);
        let origin = format!("answer [organisation.{name}] requests_per_s");
        writer.write_value("rate_per_s", rate_per_s, &origin);
        let origin =
            format!("{CONCURRENCY_SECONDS} s of requests at the rate of [organisation.{name}]");
        writer.write_value(
            "concurrency",
            rate_per_s.saturating_mul(CONCURRENCY_SECONDS).min(1_000_000),
            &origin,
        );
    }
}

fn write_caller(
    writer: &mut CommentedIniWriter,
    caller: &CallerAnswers,
    issued_keys: &mut Vec<IssuedKey>,
) -> Result<(), GenerateError> {
    let name = &caller.name;
    writer.write_section(&format!("caller.{name}"));
    writer.write_value(
        "organisation",
        &caller.organisation,
        &format!("answer [caller.{name}] organisation"),
    );
    writer.write_value("tier", &caller.tier, &format!("answer [caller.{name}] tier"));
    if !caller.work.is_empty() {
        writer.write_value(
            "routes",
            caller.work.join(", "),
            &format!("answer [caller.{name}] work"),
        );
    }
    if let Some(hash) = &caller.key_sha256 {
        writer.write_value("key_sha256", hash, &format!("answer [caller.{name}] key_sha256"));
        return Ok(());
    }
    let key = generate_api_key()?;
    let hash = encode_hex(&Sha256::digest(key.as_bytes()));
    writer.write_value(
        "key_sha256",
        hash,
        "hash of a key that was made, because no answer gave one",
    );
    issued_keys.push(IssuedKey { caller: name.clone(), key });
    Ok(())
}

fn write_routes(writer: &mut CommentedIniWriter, answers: &Answers) {
    for work in &answers.works {
        let name = &work.name;
        writer.write_section(&format!("route.{name}"));
        writer.write_value("kind", &work.kind, &format!("answer [work.{name}] kind"));
        let (idempotent, repeat) =
            if work.is_idempotent { ("yes", "harmless") } else { ("no", "harmful") };
        writer.write_value(
            "idempotent",
            idempotent,
            &format!("answer [work.{name}] repeat = {repeat}"),
        );
        if work.kind == "service" {
            writer.write_value(
                "service_time_ms",
                work.typical_ms,
                &format!("answer [work.{name}] typical_ms"),
            );
        }
    }
}

fn write_providers(writer: &mut CommentedIniWriter, answers: &Answers) {
    for (name, credit_tokens, ends_at) in &answers.providers {
        writer.write_section(&format!("provider.{name}"));
        writer.write_value(
            "credit_tokens",
            credit_tokens,
            &format!("answer [provider.{name}] credit_tokens"),
        );
        writer.write_value("ends_at", ends_at, &format!("answer [provider.{name}] ends_at"));
    }
}

fn write_targets(
    writer: &mut CommentedIniWriter,
    group: &TargetGroupAnswers,
    all_zones: &[String],
) {
    let zones = if group.zones.is_empty() { all_zones } else { &group.zones };
    let name = &group.name;
    let origin = |key: &str| format!("answer [target-group.{name}] {key}");
    for index in 0..group.count {
        let mut address: SocketAddr = group.first_address;
        address.set_port(address.port().saturating_add(index));
        writer.write_section(&format!("target.{name}-{}", index + 1));
        writer.write_value("routes", group.work.join(", "), &origin("work"));
        writer.write_value(
            "zone",
            &zones[usize::from(index) % zones.len()],
            &origin("zones, in turn"),
        );
        writer.write_value("address", address, &origin("first_address, ports in sequence"));
        writer.write_value("version", &group.version, &origin("version"));
        writer.write_value("concurrency", group.concurrency, &origin("concurrency"));
        writer.write_value(
            "read_tokens_per_s",
            group.read_tokens_per_s,
            &origin("read_tokens_per_s"),
        );
        writer.write_value(
            "write_tokens_per_s",
            group.write_tokens_per_s,
            &origin("write_tokens_per_s"),
        );
        if let Some(provider) = &group.provider {
            writer.write_value("provider", provider, &origin("provider"));
        }
        let checks = if group.checks_fencing { "yes" } else { "no" };
        writer.write_value("checks_fencing", checks, &origin("checks_fencing"));
    }
}

fn list_undecided(answers: &Answers) -> Vec<String> {
    let mut undecided = Vec::new();
    if answers.providers.is_empty() {
        undecided.push("no provider with credits is named, so spending is not limited".to_string());
    }
    for group in &answers.target_groups {
        if group.count < 2 {
            undecided.push(format!(
                "target group `{}` has one target; a move between versions needs a second one",
                group.name
            ));
        }
        let zones = if group.zones.is_empty() { answers.zones.len() } else { group.zones.len() };
        if zones < 2 || group.count < 2 {
            undecided.push(format!("target group `{}` is lost with one zone", group.name));
        }
    }
    undecided
}

fn generate_api_key() -> Result<String, GenerateError> {
    let mut bytes = [0_u8; KEY_BYTES];
    getrandom::fill(&mut bytes)
        .map_err(|error| GenerateError::NoRandom { message: error.to_string() })?;
    Ok(format!("ac-{}", encode_hex(&bytes)))
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a String never fails");
        text
    })
}
