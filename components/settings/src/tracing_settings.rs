//! Where spans are exported to.

/// Where spans are exported to.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct TracingSettings {
    /// Address of a collector that speaks OTLP over gRPC, such as `http://10.0.0.9:4317`; without
    /// it no spans are exported.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub collector: Option<String>,
}
