//! Functions that a read may call.

use std::collections::HashSet;
use std::sync::LazyLock;

/// Built-in functions, and keywords and types that can stand before a
/// parenthesis, which neither write nor lock nor leave state in the session, and
/// which a replica can run.
const HARMLESS: &str = "
    abs acos age all and any array array_agg array_append array_cat array_dims array_length
    array_lower array_ndims array_position array_positions array_prepend array_remove
    array_replace array_to_json array_to_string array_upper as ascii asin atan atan2 avg between
    bit bit_and bit_length bit_or bool_and bool_or btrim by cardinality case cast cbrt ceil
    ceiling char char_length character character_length chr clock_timestamp coalesce
    col_description concat concat_ws convert_from convert_to corr cos cot count cross cube
    cume_dist current_catalog current_database current_schema current_schemas current_setting
    current_time current_timestamp date_part date_trunc dec decimal decode degrees dense_rank
    distinct div else encode every except exists exp extract filter first_value float floor
    format format_type from generate_series generate_subscripts get_byte greatest grouping
    having ilike in initcap intersect interval is isfinite join json_agg json_array_elements
    json_array_elements_text json_array_length json_build_array json_build_object json_each
    json_each_text json_extract_path json_extract_path_text json_object_agg json_object_keys
    json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text jsonb_array_length
    jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path
    jsonb_extract_path_text jsonb_object_agg jsonb_object_keys jsonb_path_exists
    jsonb_path_query jsonb_pretty jsonb_set jsonb_typeof justify_days justify_hours
    justify_interval lag last_value lateral lead least left length like limit ln localtime
    localtimestamp log log10 lower lpad ltrim make_date make_interval make_time make_timestamp
    make_timestamptz materialized max md5 min mod mode not now nth_value ntile nullif numeric
    obj_description octet_length offset on or over overlaps overlay parse_ident percent_rank
    percentile_cont percentile_disc pg_backend_pid pg_client_encoding pg_column_size
    pg_conf_load_time pg_control_checkpoint pg_database_size pg_encoding_to_char
    pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_indexdef pg_get_userbyid
    pg_get_viewdef pg_has_role pg_is_in_recovery pg_last_wal_receive_lsn pg_last_wal_replay_lsn
    pg_postmaster_start_time pg_relation_size pg_size_pretty pg_sleep pg_table_is_visible
    pg_table_size pg_total_relation_size pg_type_is_visible pg_typeof pi position power
    quote_ident quote_literal quote_nullable radians rank recursive regexp_count regexp_instr
    regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
    regexp_split_to_table regexp_substr repeat replace reverse right rollup round row row_number
    row_to_json rpad rtrim select session_user sets sha256 sha512 shobj_description sign similar
    sin some split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp
    string_agg string_to_array string_to_table strpos substr substring sum tan then time
    timeofday timestamp timestamptz timetz to_ascii to_char to_date to_hex to_json to_jsonb
    to_number to_regclass to_timestamp to_tsquery to_tsvector transaction_timestamp translate
    trim trunc ts_headline ts_rank union unnest upper using values var_pop var_samp varbit
    varchar variance varying version when where width_bucket within zone
";

static HARMLESS_SET: LazyLock<HashSet<&str>> =
    LazyLock::new(|| HARMLESS.split_whitespace().collect());

/// Functions that leave state in the session of the connection that runs them.
const SESSION_STATE: &[&str] = &[
    "dblink_connect",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "set_config",
    "setseed",
];

/// Whether a read may call the name, folded as PostgreSQL folds it.
pub(super) fn is_harmless(name: &str) -> bool {
    HARMLESS_SET.contains(name)
}

/// Whether calling `name` makes session state.
pub(super) fn makes_session_state(name: &str) -> bool {
    SESSION_STATE.contains(&name)
}
