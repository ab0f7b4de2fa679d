//! Plans the next step that brings an engine from its reported status to the desired state of the
//! release notes.

/// Next step at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum PlanStep {
    /// The reported status equals the desired state.
    Converged,
    /// Send an order while the engine continues to serve requests.
    Order(border::OrderAction),
    /// Send an order after the engine is drained.
    OrderAfterDrain(border::OrderAction),
}

/// Returns the next step for `engine` with the desired role `role`.
///
/// The role is changed first, then the desired models and adapters are loaded and all others are
/// unloaded. A stale version of a model is unloaded before the desired version is loaded. An engine
/// with the desired role [`note::EngineRole::Flexible`] keeps its reported role.
pub(crate) fn next_step(
    state: &note::StateInForce,
    engine: &note::EngineEntry,
    role: note::EngineRole,
    status: &border::EngineStatus,
) -> PlanStep {
    if role != note::EngineRole::Flexible && status.role != role {
        return PlanStep::OrderAfterDrain(border::OrderAction::TakeRole(role));
    }
    let desired = desired_models(state, engine);
    for (model, version) in &desired {
        if status.loaded.contains(&(model.clone(), version.clone())) {
            continue;
        }
        if let Some(unload) = stale_version_unload(status, model) {
            return PlanStep::OrderAfterDrain(unload);
        }
        let load = border::OrderAction::LoadModel(model.clone(), version.clone());
        return PlanStep::Order(load);
    }
    if let Some(step) = adapter_step(state, engine, status) {
        return step;
    }
    match status
        .loaded
        .iter()
        .find(|loaded| !desired.contains(loaded))
    {
        Some((model, version)) => PlanStep::OrderAfterDrain(border::OrderAction::UnloadModel(
            model.clone(),
            version.clone(),
        )),
        None => PlanStep::Converged,
    }
}

fn desired_models(
    state: &note::StateInForce,
    engine: &note::EngineEntry,
) -> Vec<(ids::ModelName, ids::VersionName)> {
    engine
        .models
        .iter()
        .filter_map(|name| state.models.get(name))
        .map(|model| (model.name.clone(), model.version.clone()))
        .collect()
}

fn stale_version_unload(
    status: &border::EngineStatus,
    model: &ids::ModelName,
) -> Option<border::OrderAction> {
    status
        .loaded
        .iter()
        .find(|(loaded, _)| loaded == model)
        .map(|(model, version)| border::OrderAction::UnloadModel(model.clone(), version.clone()))
}

fn adapter_step(
    state: &note::StateInForce,
    engine: &note::EngineEntry,
    status: &border::EngineStatus,
) -> Option<PlanStep> {
    let models = engine
        .models
        .iter()
        .filter_map(|name| state.models.get(name));
    let desired: Vec<_> = models
        .flat_map(|model| model.adapters.iter().map(|adapter| (&model.name, adapter)))
        .collect();
    let missing = desired
        .iter()
        .find(|(_, adapter)| !status.adapters.contains(adapter));
    if let Some((model, adapter)) = missing {
        let load = border::OrderAction::LoadAdapter((*model).clone(), (*adapter).clone());
        return Some(PlanStep::Order(load));
    }
    // The status does not report the model of an adapter, so the order names the first model.
    let model = engine.models.first()?;
    let extra = status
        .adapters
        .iter()
        .find(|loaded| desired.iter().all(|(_, adapter)| adapter != loaded))?;
    let unload = border::OrderAction::UnloadAdapter(model.clone(), extra.clone());
    Some(PlanStep::OrderAfterDrain(unload))
}
