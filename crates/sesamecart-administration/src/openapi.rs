//! The API's description, made from its routes and messages.

use serde_json::{Value, json};

use crate::message::ErrorCode;

/// One operation of the API.
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

/// Returns the API's description as OpenAPI 3.1.
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

fn text() -> Value {
    json!({"type": "string"})
}

fn number() -> Value {
    json!({"type": "integer", "minimum": 0})
}

fn flag() -> Value {
    json!({"type": "boolean"})
}

fn list(items: Value) -> Value {
    json!({"type": "array", "items": items})
}

fn optional(schema: Value) -> Value {
    json!({"anyOf": [schema, {"type": "null"}]})
}

/// Makes an object whose first `required` properties must be there.
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
            "place": text(), "value": text(), "reason": text(), "remedy": text(),
            "row": number(), "column": text()),
        "Change": schema!(2; "subject": text(), "words": text()),
        "Verdict": schema!(1;
            "verdict": json!({"enum": ["accepted", "conflict"]}),
            "revision": number(), "offset": number(),
            "base": number(), "author": text(), "at_ms": number()),
        "PublishRequest": schema!(3;
            "publish_id": text(), "base_revision": number(),
            "configuration": reference("Configuration"), "allow_capacity_drop": flag()),
        "CheckRequest": schema!(1;
            "configuration": reference("Configuration"), "allow_capacity_drop": flag()),
        "CheckReply": schema!(3;
            "revision": number(), "problems": list(reference("Problem")),
            "changes": list(reference("Change"))),
        "DrainRequest": schema!(3; "publish_id": text(), "target": text(), "on": flag()),
        "ChangeReply": schema!(2;
            "publish_id": text(), "outcome": reference("ChangeOutcome")),
        "ChangeOutcome": {"oneOf": [
            schema!(1; "decided": reference("Verdict")),
            schema!(1; "provisional": schema!(1; "expires_in_ms": number())),
        ]},
        "ConfigurationReply": schema!(4;
            "revision": number(), "author": text(), "published_at_ms": number(),
            "configuration": reference("Configuration")),
        "StatusReply": schema!(5;
            "node": text(), "revision": number(), "log_answers": flag(),
            "nodes": list(reference("NodeReply")), "drains": list(reference("DrainReply"))),
        "NodeReply": schema!(5;
            "node": text(), "failure_domain": text(),
            "state": json!({"enum": ["reachable", "unreachable"]}),
            "revision": optional(number()), "next_offset": optional(number())),
        "DrainReply": schema!(4;
            "target": text(), "author": text(), "at_ms": number(),
            "state": json!({"oneOf": [
                {"const": "logged"},
                schema!(1; "provisional": schema!(1; "remaining_ms": number())),
            ]})),
        "GroupsReply": schema!(1; "groups": list(reference("GroupReply"))),
        "GroupReply": schema!(7;
            "group": text(), "model": text(), "configured_vms": list(text()),
            "assigned_vms": list(text()), "generation": optional(number()),
            "endpoint": optional(text()), "drained": flag()),
        "LeasesReply": schema!(1; "leases": list(reference("LeaseReply"))),
        "LeaseReply": schema!(5;
            "shard": number(), "holder": text(), "epoch": number(),
            "voters": list(text()), "released": flag()),
        "AuditReply": schema!(2;
            "next_offset": number(), "entries": list(reference("AuditEntry"))),
        "AuditEntry": schema!(8;
            "offset": number(), "logged_at_ms": number(), "kind": text(), "author": text(),
            "subject": text(), "old": text(), "new": text(), "verdict": text(), "from": text()),
        "ErrorReply": schema!(2;
            "code": json!({"enum": codes}), "message": text(),
            "problems": list(reference("Problem")), "conflict": reference("Verdict")),
    })
}
