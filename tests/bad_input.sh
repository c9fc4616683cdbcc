#!/usr/bin/env bash
# Sends invalid, oversized, slow and unauthorised input to every interface of a cell. Needs FILBERT_BIN.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
failures=0
start_cell 1 1 1 || { tail -n 3 "$work"/*.log; exit 1; }
make_key desk; desk_token=$token desk_stored=$stored
make_key rival; rival_token=$token rival_stored=$stored
make_key workshop; target_token=$token
cat >"$work/cell.yaml" <<YAML
cell: doors
teams: [{name: orders, share: 1, keys: [$desk_stored]}, {name: rivals, share: 1, keys: [$rival_stored]}]
queues: [{name: quotes, policy: urgent}, {name: proofs, policy: batch}]
services: [{name: quote, queue: quotes, idempotent: true, task: {milli_cores: 10}}]
principals: [{name: ops, role: operator, keys: [$operator_stored]}, {name: t, role: target, keys: [$stored]}]
YAML
ctl apply "$work/cell.yaml" >/dev/null || exit 1
start_target 1 quote --key="$target_token"
ready() { ctl status | grep -q ' ready '; }
eventually 20 ready || exit 1
url=http://127.0.0.1:${gateway_port[1]}

expect() { # DESCRIPTION STATUS CURL-ARGUMENTS...
    local what=$1 wanted=$2 got
    shift 2
    got=$(curl -s -m 10 -o "$work/answer" -w '%{http_code}' "$@")
    if [ "$got" = "$wanted" ]; then
        echo "right: $what: $got"
    else
        echo "WRONG: $what: expected $wanted, got $got: $(head -c 200 "$work/answer")"
        failures=$((failures + 1))
    fi
}
team=(-H "Authorization: Bearer $desk_token")
operator=(-H "Authorization: Bearer $operator_token")
target=(-H "Authorization: Bearer $target_token")
head -c 2000000 /dev/zero | tr '\0' 'x' >"$work/big"
deep=$(printf '{"next":%.0s' $(seq 1 2000))

expect "a valid request" 200 "${team[@]}" --data lid $url/v1/services/quote
expect "an empty body" 200 "${team[@]}" -X POST $url/v1/services/quote
expect "an unknown path" 404 "${team[@]}" $url/v1/nowhere
expect "a method that is not allowed" 405 "${team[@]}" -X DELETE $url/v1/services/quote
expect "an unknown service" 404 "${team[@]}" --data x $url/v1/services/nothing
expect "a body above the size limit" 413 "${team[@]}" --data-binary @"$work/big" $url/v1/services/quote
expect "a chunked body, which is not supported" 400 "${team[@]}" -H 'Transfer-Encoding: chunked' --data x $url/v1/services/quote
expect "a deadline that is not a number" 400 "${team[@]}" -H 'Filbert-Deadline-Ms: soon' --data x $url/v1/services/quote
expect "a negative deadline" 400 "${team[@]}" -H 'Filbert-Deadline-Ms: -5' --data x $url/v1/services/quote
expect "a key with another authorization scheme" 401 -H 'Authorization: Basic eDp5' --data x $url/v1/services/quote
expect "a key without a secret" 401 -H 'Authorization: Bearer desk' --data x $url/v1/services/quote
expect "truncated JSON" 400 "${team[@]}" --data '{"queue":"proofs"' $url/v1/jobs
expect "an unknown field" 400 "${team[@]}" --data '{"queue":"proofs","colour":1}' $url/v1/jobs
expect "a duplicate field" 400 "${team[@]}" --data '{"queue":"proofs","queue":"quotes","service":"quote"}' $url/v1/jobs
expect "a field of the wrong type" 400 "${team[@]}" --data '{"queue":"proofs","tasks":"many"}' $url/v1/jobs
expect "bytes that are not UTF-8" 400 "${team[@]}" --data-binary $'{"queue":"\xff\xfe"}' $url/v1/jobs
expect "too many tasks" 400 "${team[@]}" --data '{"queue":"proofs","service":"quote","tasks":2000000}' $url/v1/jobs
expect "a negative amount of resources" 400 "${team[@]}" --data '{"queue":"proofs","service":"quote","task":{"milli_cores":-1}}' $url/v1/jobs
expect "deep nesting" 400 "${operator[@]}" -X PUT --data-binary "$deep" $url/v1/configuration
expect "a team's key for an operator's request" 403 "${team[@]}" $url/v1/status
expect "an operator's key for a team's request" 403 "${operator[@]}" --data x $url/v1/services/quote
expect "a team's key for a target's heartbeat" 403 "${team[@]}" --data '{}' $url/v1/targets/t9/heartbeat
expect "a target that announces an invalid address" 400 "${target[@]}" --data '{"address":"nowhere","epoch":1}' $url/v1/targets/t9/announce
expect "a target's name that is not UTF-8" 400 "${target[@]}" --data '{"address":"127.0.0.1:9","epoch":1}' $url/v1/targets/t%ff%fe/announce
expect "an Idempotency-Key that is not UTF-8" 400 "${team[@]}" -H $'Idempotency-Key: \xff' --data x $url/v1/services/quote
expect "a key that is not UTF-8" 400 -H $'Authorization: Bearer \xff\xfe' --data x $url/v1/services/quote
expect "a job id that is not a number" 404 "${team[@]}" $url/v1/jobs/first
job=$(FILBERT_KEY=$desk_token ctl submit --queue=proofs --service=quote --payload=ms=60000)
expect "another team's job" 404 -H "Authorization: Bearer $rival_token" $url/v1/jobs/$job
expect "cancelling another team's job" 404 -H "Authorization: Bearer $rival_token" -X DELETE $url/v1/jobs/$job

# Forty connections that send half a header and then wait must not block other clients.
for i in $(seq 1 40); do
    exec {slow}<>"/dev/tcp/127.0.0.1/${gateway_port[1]}"
    printf 'POST /v1/services/quote HTTP/1.1\r\nHost: x\r\nContent-Le' >&$slow
done
expect "a valid request beside slow ones" 200 "${team[@]}" --data lid $url/v1/services/quote

# A process without a key of this site must not be able to talk to a controller.
"$bin/filbertctl" keys site "$work/foreign" "c1=127.0.0.1:${message_port[1]}" bench >/dev/null
if timeout 20 "$bin/filbert-commit-bench" --controllers="127.0.0.1:${message_port[1]}" --seconds=1 \
    --curve_site="$work/foreign/bench.site" >"$work/foreign.out" 2>&1; then
    echo "WRONG: a process with a key of another site was accepted"
    failures=$((failures + 1))
else
    echo "right: a process with a key of another site is rejected"
fi
if grep -qF -e "${desk_token#*.}" -e "${operator_token#*.}" -e "$(awk '/^self/ {print $3}' "$work/site/c1.site")" "$work"/*.log; then
    echo "WRONG: a secret was logged"
    failures=$((failures + 1))
fi
echo "$failures failed"
[ $failures -eq 0 ]
