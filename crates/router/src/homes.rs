//! Home regions of requests, from the configuration of their routes and teams.

use std::fmt;

use base::name;
use policy::placement;

use crate::{attempt, host, model};

/// Number of log lines about unknown homes for one configuration.
const MAX_LOGGED: usize = 50;

/// Returns the regions in which the request may be served; `None` without a limit.
pub fn allowed(call: &attempt::Call) -> Option<placement::Regions> {
    let team = call.team.as_ref().map_or(&[][..], |team| &team.homes);
    placement::allowed_regions(&call.route.homes, team)
}

/// Names of regions as text for log lines, separated by commas; `-` for an empty list.
pub struct List<'a>(pub &'a [name::Region]);

impl fmt::Display for List<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (i, region) in self.0.iter().enumerate() {
            let separator = if i > 0 { "," } else { "" };
            write!(f, "{separator}{region}")?;
        }
        Ok(())
    }
}

/// Returns the homes that no data centre belongs to: whether a route or a team has them, its name, and
/// the regions.
pub fn unknown<'a>(
    host: &host::Host,
    config: &'a model::Config,
) -> Vec<(&'static str, &'a str, Vec<name::Region>)> {
    let routes = config.routes();
    let routes = routes.map(|route| ("route", route.name.as_str(), &route.homes));
    let teams = config.teams().into_iter();
    let teams = teams.map(|team| ("team", team.name.as_str(), &team.homes));
    let mut found = Vec::new();
    for (kind, name, homes) in routes.chain(teams) {
        let unknown = placement::unknown_homes(homes, &host.settings.location.regions);
        if unknown.is_empty() {
            continue;
        }
        found.push((kind, name, unknown.into_iter().cloned().collect()));
    }
    found
}

/// Logs the homes of a configuration that no data centre belongs to. No request is served there, and
/// the rest of the configuration is in force.
pub fn log_unknown(host: &host::Host, config: &model::Config) {
    let unknown = unknown(host, config);
    for (kind, name, homes) in unknown.iter().take(MAX_LOGGED) {
        tracing::error!(
            event = "home_unknown",
            config = config.version,
            kind,
            name,
            homes = %List(homes),
            total = unknown.len(),
        );
    }
}
