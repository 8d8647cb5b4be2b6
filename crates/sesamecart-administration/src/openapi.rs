//! The OpenAPI description of the API's routes and messages.

use serde_json::{Value, json};

use crate::message::ErrorCode;

/// An operation of the API: a method of a path.
struct Operation {
    path: &'static str,
    method: &'static str,
    summary: &'static str,
    role: &'static str,
    request: Option<&'static str>,
    reply: &'static str,
    errors: &'static [ErrorCode],
}

const READ_ERRORS: &[ErrorCode] = &[
    ErrorCode::Unauthenticated,
    ErrorCode::RateLimited,
    ErrorCode::Unavailable,
];
const SCOPED_READ_ERRORS: &[ErrorCode] = &[
    ErrorCode::Unauthenticated,
    ErrorCode::Forbidden,
    ErrorCode::RateLimited,
    ErrorCode::Unavailable,
];
const CHANGE_ERRORS: &[ErrorCode] = &[
    ErrorCode::BadRequest,
    ErrorCode::Unauthenticated,
    ErrorCode::Forbidden,
    ErrorCode::Conflict,
    ErrorCode::Invalid,
    ErrorCode::RateLimited,
    ErrorCode::Unavailable,
    ErrorCode::Undecided,
];

const OPERATIONS: [Operation; 10] = [
    Operation {
        path: "/v1/status",
        method: "get",
        summary: "How the nodes are, and the drains in force.",
        role: "viewer",
        request: None,
        reply: "StatusReply",
        errors: READ_ERRORS,
    },
    Operation {
        path: "/v1/configuration",
        method: "get",
        summary: "The configuration in force, as far as the operator's teams may see it.",
        role: "viewer",
        request: None,
        reply: "ConfigurationReply",
        errors: READ_ERRORS,
    },
    Operation {
        path: "/v1/configuration",
        method: "post",
        summary: "Puts a configuration in force. Sent again with the same publish id, it counts once.",
        role: "operator",
        request: Some("PublishRequest"),
        reply: "ChangeReply",
        errors: CHANGE_ERRORS,
    },
    Operation {
        path: "/v1/configuration/check",
        method: "post",
        summary: "Tells what publishing a configuration would change, and what is wrong with it.",
        role: "viewer",
        request: Some("CheckRequest"),
        reply: "CheckReply",
        errors: SCOPED_READ_ERRORS,
    },
    Operation {
        path: "/v1/drains",
        method: "post",
        summary: "Begins or ends a drain. While the log is out, a drain begins provisionally.",
        role: "on-call",
        request: Some("DrainRequest"),
        reply: "ChangeReply",
        errors: CHANGE_ERRORS,
    },
    Operation {
        path: "/v1/changes/{publish_id}",
        method: "get",
        summary: "What became of a change.",
        role: "viewer",
        request: None,
        reply: "ChangeReply",
        errors: &[
            ErrorCode::Unauthenticated,
            ErrorCode::NotFound,
            ErrorCode::RateLimited,
            ErrorCode::Unavailable,
        ],
    },
    Operation {
        path: "/v1/groups",
        method: "get",
        summary: "The serving groups, as configured and as assigned.",
        role: "viewer",
        request: None,
        reply: "GroupsReply",
        errors: READ_ERRORS,
    },
    Operation {
        path: "/v1/leases",
        method: "get",
        summary: "The newest accepted claim of each shard.",
        role: "viewer",
        request: None,
        reply: "LeasesReply",
        errors: SCOPED_READ_ERRORS,
    },
    Operation {
        path: "/v1/audit",
        method: "get",
        summary: "The newest lines of the audit trail, the oldest first.",
        role: "viewer",
        request: None,
        reply: "AuditReply",
        errors: READ_ERRORS,
    },
    Operation {
        path: "/v1/openapi.json",
        method: "get",
        summary: "This description.",
        role: "viewer",
        request: None,
        reply: "OpenApi",
        errors: READ_ERRORS,
    },
];

/// Returns the OpenAPI 3.1 description of the API.
#[must_use]
pub fn openapi() -> Value {
    let mut paths = json!({});
    for operation in &OPERATIONS {
        paths[operation.path][operation.method] = operation.describe();
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "sesamecart administration",
            "version": "1",
            "description": "Every request needs a bearer token. Errors are an ErrorReply.",
        },
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
            "schemas": schemas(),
        },
    })
}

impl Operation {
    fn describe(&self) -> Value {
        let mut responses = json!({
            "200": {"description": "Done.", "content": content(self.reply)},
        });
        for code in self.errors {
            responses[code.status().as_str()] = json!({
                "description": format!("code {code}"),
                "content": content("ErrorReply"),
            });
        }
        let mut operation = json!({
            "summary": self.summary,
            "description": format!("Needs the role {}.", self.role),
            "responses": responses,
        });
        if let Some(request) = self.request {
            operation["requestBody"] = json!({"required": true, "content": content(request)});
        }
        if self.path.contains("{publish_id}") {
            operation["parameters"] = json!([{
                "name": "publish_id",
                "in": "path",
                "required": true,
                "schema": {"type": "string"},
            }]);
        }
        operation
    }
}

fn content(schema: &str) -> Value {
    json!({"application/json": {"schema": reference(schema)}})
}

fn reference(schema: &str) -> Value {
    json!({"$ref": format!("#/components/schemas/{schema}")})
}

fn string() -> Value {
    json!({"type": "string"})
}

fn integer() -> Value {
    json!({"type": "integer", "minimum": 0})
}

fn boolean() -> Value {
    json!({"type": "boolean"})
}

fn array(items: Value) -> Value {
    json!({"type": "array", "items": items})
}

fn nullable(schema: Value) -> Value {
    json!({"anyOf": [schema, {"type": "null"}]})
}

/// Returns the schema of an object whose first `required` properties are required.
fn object(required: usize, properties: Vec<Property>) -> Value {
    let names: Vec<_> = properties
        .iter()
        .take(required)
        .map(|property| property.name)
        .collect();
    let mut map = json!({});
    for Property { name, schema } in properties {
        map[name] = schema;
    }
    json!({"type": "object", "required": names, "properties": map})
}

struct Property {
    name: &'static str,
    schema: Value,
}

macro_rules! schema {
    ($required:expr; $($name:literal: $schema:expr),* $(,)?) => {
        object($required, vec![$(Property { name: $name, schema: $schema }),*])
    };
}

fn schemas() -> Value {
    let configuration = json!({
        "type": "object",
        "description": "The whole configuration; docs/sheet.md tells how it comes about.",
    });
    let codes: Vec<_> = ErrorCode::ALL.iter().map(ToString::to_string).collect();
    json!({
        "Configuration": configuration,
        "OpenApi": {"type": "object"},
        "Problem": schema!(4;
            "place": string(), "value": string(), "reason": string(), "remedy": string(),
            "row": integer(), "column": string()),
        "Change": schema!(2; "subject": string(), "words": string()),
        "Verdict": schema!(1;
            "verdict": json!({"enum": ["accepted", "conflict"]}),
            "revision": integer(), "offset": integer(),
            "base": integer(), "author": string(), "at_ms": integer()),
        "PublishRequest": schema!(3;
            "publish_id": string(), "base_revision": integer(),
            "configuration": reference("Configuration"), "allow_capacity_drop": boolean()),
        "CheckRequest": schema!(1;
            "configuration": reference("Configuration"), "allow_capacity_drop": boolean()),
        "CheckReply": schema!(3;
            "revision": integer(), "problems": array(reference("Problem")),
            "changes": array(reference("Change"))),
        "DrainRequest": schema!(3; "publish_id": string(), "target": string(), "on": boolean()),
        "ChangeReply": schema!(2;
            "publish_id": string(), "outcome": reference("ChangeOutcome")),
        "ChangeOutcome": {"oneOf": [
            schema!(1; "decided": reference("Verdict")),
            schema!(1; "provisional": schema!(1; "expires_in_ms": integer())),
        ]},
        "ConfigurationReply": schema!(4;
            "revision": integer(), "author": string(), "published_at_ms": integer(),
            "configuration": reference("Configuration")),
        "StatusReply": schema!(5;
            "node": string(), "revision": integer(), "log_answers": boolean(),
            "nodes": array(reference("NodeReply")), "drains": array(reference("DrainReply"))),
        "NodeReply": schema!(5;
            "node": string(), "failure_domain": string(),
            "state": json!({"enum": ["reachable", "unreachable"]}),
            "revision": nullable(integer()), "next_offset": nullable(integer())),
        "DrainReply": schema!(4;
            "target": string(), "author": string(), "at_ms": integer(),
            "state": json!({"oneOf": [
                {"const": "logged"},
                schema!(1; "provisional": schema!(1; "remaining_ms": integer())),
            ]})),
        "GroupsReply": schema!(1; "groups": array(reference("GroupReply"))),
        "GroupReply": schema!(7;
            "group": string(), "model": string(), "configured_vms": array(string()),
            "assigned_vms": array(string()), "generation": nullable(integer()),
            "endpoint": nullable(string()), "drained": boolean()),
        "LeasesReply": schema!(1; "leases": array(reference("LeaseReply"))),
        "LeaseReply": schema!(5;
            "shard": integer(), "holder": string(), "epoch": integer(),
            "voters": array(string()), "released": boolean()),
        "AuditReply": schema!(2;
            "next_offset": integer(), "entries": array(reference("AuditEntry"))),
        "AuditEntry": schema!(8;
            "offset": integer(), "logged_at_ms": integer(), "kind": string(), "author": string(),
            "subject": string(), "old": string(), "new": string(), "verdict": string(), "from": string()),
        "ErrorReply": schema!(2;
            "code": json!({"enum": codes}), "message": string(),
            "problems": array(reference("Problem")), "conflict": reference("Verdict")),
    })
}
