//! The settings object as it is written. Field names are its keys; keys without a field are ignored.

use serde::Deserialize;
use serde_json::{Map, Value};

#[derive(Deserialize)]
#[serde(expecting = "a settings object")]
pub(crate) struct RawSettings {
    #[serde(default = "default_balancers")]
    pub(crate) balancers: u32,
    #[serde(default)]
    pub(crate) me: u32,
    #[serde(default)]
    pub(crate) locality: u32,
    pub(crate) classes: Vec<RawClass>,
    #[serde(default)]
    pub(crate) tenants: Vec<RawTenant>,
    #[serde(default)]
    pub(crate) over_share_worth: Option<f64>,
    #[serde(default)]
    pub(crate) discovery: Option<String>,
    #[serde(default)]
    pub(crate) stats: RawStats,
    #[serde(default)]
    pub(crate) limits: RawLimits,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(default)]
    pub(crate) deductions: Map<String, Value>,
    pub(crate) safety: RawSafety,
    #[serde(default)]
    pub(crate) weight_source: Option<Value>,
    #[serde(default)]
    pub(crate) family_info: Map<String, Value>,
    #[serde(default)]
    pub(crate) objective_mix: Map<String, Value>,
    #[serde(default)]
    pub(crate) tick: u64,
}

fn default_balancers() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(expecting = "an object that describes a class")]
pub(crate) struct RawClass {
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) aim: u64,
    pub(crate) deadline: u64,
    #[serde(default)]
    pub(crate) gain: f64,
    #[serde(default)]
    pub(crate) late_worth: f64,
    pub(crate) semantics: String,
    #[serde(default)]
    pub(crate) group: Option<String>,
    #[serde(default)]
    pub(crate) window: Option<u64>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
#[serde(expecting = "an object that describes a tenant")]
pub(crate) struct RawTenant {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) share: f64,
    #[serde(default)]
    pub(crate) quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(expecting = "an object that describes load reports")]
pub(crate) struct RawStats {
    #[serde(default)]
    pub(crate) fields: Vec<String>,
    #[serde(default)]
    pub(crate) how: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default, expecting = "an object of limits")]
pub(crate) struct RawLimits {
    pub(crate) try_limit: Option<u32>,
    pub(crate) parallel_tries: bool,
    pub(crate) retry_after: bool,
    pub(crate) max_retry_after: u64,
    pub(crate) probes: bool,
    pub(crate) cancel: bool,
    pub(crate) peers: bool,
    pub(crate) connect_timeout: u64,
    pub(crate) conn_idle: Option<u64>,
    pub(crate) max_open: Option<u64>,
}

#[derive(Deserialize)]
#[serde(expecting = "an object of safety limits")]
pub(crate) struct RawSafety {
    #[serde(default)]
    pub(crate) ask_within: Option<u64>,
    #[serde(default)]
    pub(crate) cold_from: Option<f64>,
    #[serde(default)]
    pub(crate) cold: u64,
    #[serde(default)]
    pub(crate) drain_grace: Option<u64>,
}
