//! Names that operators choose, cheap to clone.

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Debug,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            serde::Deserialize,
            serde::Serialize,
            schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Names an adapter of a model.
    AdapterName
);
name_type!(
    /// Names a request class.
    ClassName
);
name_type!(
    /// Names a version of the software of a backend server.
    SoftwareVersion
);
name_type!(
    /// Names a data centre.
    DataCentreName
);
name_type!(
    /// Names a model.
    ModelName
);
name_type!(
    /// Names a region, a group of data centres close to each other.
    RegionName
);
name_type!(
    /// Names a backend server: an engine or a server of a plain service.
    ServerName
);
name_type!(
    /// Names a plain service.
    ServiceName
);
name_type!(
    /// Names a version of a model's weights.
    VersionName
);
name_type!(
    /// Names a workspace, the unit that is billed and isolated.
    WorkspaceName
);
