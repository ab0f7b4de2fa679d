//! The ways of choosing peers that are compared.

/// The ways of choosing peers that are compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ChooserKind {
    /// Uniformly at random.
    Uniform,
    /// Mostly in the own region.
    Centre,
    /// Mostly those that a ranking puts first.
    Ranked,
}

impl ChooserKind {
    /// Makes a chooser of this kind.
    #[must_use]
    pub fn selector(self) -> Box<dyn spread::PeerSelector> {
        match self {
            Self::Uniform => Box::new(spread::UniformSelector::default()),
            Self::Centre => Box::new(spread::LocalitySelector::default()),
            Self::Ranked => Box::new(spread::RankedSelector::default()),
        }
    }
}
