//! Effective policy values and the nodes that they were inherited from.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::{Code, Fault, Policy, Tree};

/// An effective policy value and its origin.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveValue {
    /// The value.
    pub value: Value,
    /// The JSON pointer of the node that sets it.
    pub origin: String,
}

/// Returns the policy values in effect at the node `path`, by field. Fields that no node sets are
/// absent: their defaults apply.
///
/// # Errors
///
/// Returns a fault with [`Code::UnknownPath`] if `path` is neither `/` nor a service, listener,
/// upstream or target.
pub fn explain(tree: &Tree, path: &str) -> Result<BTreeMap<String, EffectiveValue>, Fault> {
    let chain = policy_chain(tree, path).ok_or_else(|| Fault {
        code: Code::UnknownPath,
        path: path.to_owned(),
        cause: "there is no such service, listener, upstream or target".to_owned(),
        hint: "for example /services/NAME/listeners/NAME".to_owned(),
    })?;
    let mut explained = BTreeMap::new();
    for (origin, policy) in chain {
        let Ok(Value::Object(fields)) = serde_json::to_value(policy) else { continue };
        for (field, value) in fields {
            explained.insert(field, EffectiveValue { value, origin: origin.clone() });
        }
    }
    Ok(explained)
}

// The policies from the root to the node at `path`, each with the path of its own node.
fn policy_chain<'a>(tree: &'a Tree, path: &str) -> Option<Vec<(String, &'a Policy)>> {
    let mut chain = vec![("/".to_owned(), &tree.policy)];
    let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
    let Some((&"services", rest)) = parts.split_first() else {
        return parts.is_empty().then_some(chain);
    };
    let (service_name, rest) = rest.split_first()?;
    let service = tree.services.get(*service_name)?;
    chain.push((format!("/services/{service_name}"), &service.policy));
    match rest {
        [] => {}
        ["listeners", name] => chain.push((path.to_owned(), &service.listeners.get(*name)?.policy)),
        ["upstreams", name] => chain.push((path.to_owned(), &service.upstreams.get(*name)?.policy)),
        ["upstreams", upstream_name, "targets", name] => {
            let upstream = service.upstreams.get(*upstream_name)?;
            let upstream_path = format!("/services/{service_name}/upstreams/{upstream_name}");
            chain.push((upstream_path, &upstream.policy));
            chain.push((path.to_owned(), &upstream.targets.get(*name)?.policy));
        }
        _ => return None,
    }
    Some(chain)
}
