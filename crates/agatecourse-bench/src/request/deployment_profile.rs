use agatecourse_types::Tier;
use snafu::Snafu;
use std::str::FromStr;

/// Load profile of a deployment that a bench reproduces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DeploymentProfile {
    /// Greenhouse glass replacement franchises in Thailand.
    #[default]
    Kaewkla,
    /// Road cone hire in Romania.
    Association,
}

/// Error for a name that is not a known load profile.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("unknown deployment {name:?}; expected `kaewkla` or `association`"))]
pub struct UnknownDeploymentError {
    name: String,
}

impl FromStr for DeploymentProfile {
    type Err = UnknownDeploymentError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "kaewkla" => Ok(Self::Kaewkla),
            "association" => Ok(Self::Association),
            _ => UnknownDeploymentSnafu { name }.fail(),
        }
    }
}

/// Kind of request with the ranges of its log-uniformly distributed lengths.
#[derive(Debug, Clone, Copy)]
pub struct RequestKind {
    /// Fraction of all requests.
    pub share: f64,
    /// Tier of the requests; 0 is the highest.
    pub tier: Tier,
    /// Shortest and longest prompt in tokens.
    pub read_tokens: (f64, f64),
    /// Shortest and longest response in tokens.
    pub write_tokens: (f64, f64),
    /// Time from arrival to the deadline in seconds.
    pub deadline_s: f64,
}

const fn request_kind(
    share: f64,
    tier: Tier,
    read_tokens: (f64, f64),
    write_tokens: (f64, f64),
    deadline_s: f64,
) -> RequestKind {
    RequestKind { share, tier, read_tokens, write_tokens, deadline_s }
}

/// Storm surveys and urgent notes (tier 0); notes and claims (tier 1); drafts made overnight from surveys (tier 2).
const KAEWKLA: [RequestKind; 5] = [
    request_kind(0.06, 0, (2_000.0, 8_000.0), (400.0, 1_600.0), 60.0),
    request_kind(0.25, 0, (120.0, 400.0), (16.0, 60.0), 8.0),
    request_kind(0.25, 1, (120.0, 400.0), (16.0, 60.0), 12.0),
    request_kind(0.24, 1, (1_000.0, 3_000.0), (120.0, 400.0), 30.0),
    request_kind(0.20, 2, (2_000.0, 6_000.0), (300.0, 1_200.0), 60.0),
];

/// Urgent plans and placement questions (tier 0); plans (tier 1); contract summaries (tier 2).
const ASSOCIATION: [RequestKind; 4] = [
    request_kind(0.05, 0, (800.0, 3_000.0), (500.0, 1_600.0), 60.0),
    request_kind(0.45, 0, (120.0, 500.0), (16.0, 60.0), 8.0),
    request_kind(0.20, 1, (800.0, 4_000.0), (500.0, 1_600.0), 60.0),
    request_kind(0.30, 2, (3_000.0, 8_000.0), (150.0, 500.0), 40.0),
];

impl DeploymentProfile {
    /// Returns the kinds of requests, whose fractions add up to 1.
    pub fn kinds(self) -> &'static [RequestKind] {
        match self {
            Self::Kaewkla => &KAEWKLA,
            Self::Association => &ASSOCIATION,
        }
    }

    /// Returns the organisations with their fractions of the requests; in both profiles a few organisations dominate.
    pub fn organisations(self) -> [(&'static str, f64); 5] {
        match self {
            Self::Kaewkla => [
                ("chiang-mai", 0.35),
                ("nonthaburi", 0.30),
                ("rayong", 0.15),
                ("phrae", 0.12),
                ("trang", 0.08),
            ],
            Self::Association => {
                [("brasov", 0.40), ("sibiu", 0.25), ("mures", 0.15), ("alba", 0.12), ("cluj", 0.08)]
            }
        }
    }

    /// Returns the name of the profile on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kaewkla => "kaewkla",
            Self::Association => "association",
        }
    }
}
