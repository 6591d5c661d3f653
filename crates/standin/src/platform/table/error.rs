//! Errors of the table service as the protocol words them.

use axum::http::StatusCode;
use quick_error::quick_error;
use serde_json::{Value, json};

const TYPE_PREFIX: &str = "com.amazonaws.dynamodb.v20120810#";

quick_error! {
    /// Why a call was refused. None of them changes anything.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TableError {
        /// The request breaks a rule of the protocol or of a table's schema.
        Validation(reason: String) {
            display("{reason}")
        }
        /// The request is no JSON of the expected form.
        Serialization(reason: String) {
            display("{reason}")
        }
        /// The operation does not exist here.
        UnknownOperation {
            display("the operation is not supported")
        }
        /// The table does not exist.
        ResourceNotFound(table: String) {
            display("Requested resource not found: Table: {table} not found")
        }
        /// A condition did not hold.
        ConditionalCheckFailed {
            display("The conditional request failed")
        }
        /// Conditions of a transaction did not hold: one entry for each action,
        /// true where its condition failed.
        TransactionCanceled(failed: Vec<bool>) {
            display("Transaction cancelled, please refer cancellation reasons for specific reasons {}", reason_list(failed))
        }
        /// The token was used with another transaction.
        IdempotentParameterMismatch {
            display("The request uses the same client token as a previous, but non-identical request")
        }
        /// The call is over the rate.
        ThroughputExceeded {
            display("The level of configured provisioned throughput for the table was exceeded")
        }
        /// The account's calls are over their rate.
        Throttling {
            display("Rate of requests exceeds the allowed throughput.")
        }
        /// The service failed.
        Internal {
            display("Internal server error")
        }
    }
}

impl TableError {
    /// HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// JSON body of the answer.
    pub fn body(&self) -> Value {
        let mut body = json!({
            "__type": format!("{TYPE_PREFIX}{}", self.type_name()),
            "message": self.to_string(),
        });
        if let Self::TransactionCanceled(failed) = self {
            body["CancellationReasons"] = failed.iter().map(|failed| reason(*failed)).collect();
        }
        body
    }

    fn type_name(&self) -> &'static str {
        match self {
            Self::Validation(_) => "ValidationException",
            Self::Serialization(_) => "SerializationException",
            Self::UnknownOperation => "UnknownOperationException",
            Self::ResourceNotFound(_) => "ResourceNotFoundException",
            Self::ConditionalCheckFailed => "ConditionalCheckFailedException",
            Self::TransactionCanceled(_) => "TransactionCanceledException",
            Self::IdempotentParameterMismatch => "IdempotentParameterMismatchException",
            Self::ThroughputExceeded => "ProvisionedThroughputExceededException",
            Self::Throttling => "ThrottlingException",
            Self::Internal => "InternalServerError",
        }
    }
}

fn reason(failed: bool) -> Value {
    if failed {
        json!({"Code": reason_code(failed), "Message": "The conditional request failed"})
    } else {
        json!({"Code": reason_code(failed)})
    }
}

fn reason_code(failed: bool) -> &'static str {
    if failed {
        "ConditionalCheckFailed"
    } else {
        "None"
    }
}

fn reason_list(failed: &[bool]) -> String {
    let codes: Vec<_> = failed.iter().map(|failed| reason_code(*failed)).collect();
    format!("[{}]", codes.join(", "))
}
