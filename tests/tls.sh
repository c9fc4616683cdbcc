#!/usr/bin/env bash
# Tests TLS between callers, gateways and targets: certificates of the site's own authority, certificates
# of another one, and reloading without a restart. Needs FILBERT_BIN.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
certificates="$work/tls"
check "certificates are created" "$bin/filbertctl" keys tls "$certificates" g1=127.0.0.1 t1=127.0.0.1
check "certificates of another authority are created" "$bin/filbertctl" keys tls "$work/other" g1=127.0.0.1 t1=127.0.0.1
cp "$certificates/authority.pem" "$work/first.pem"
gateway_extra="--tls_certificate=$certificates/g1.pem --tls_private_key=$certificates/g1.key
    --target_trusted=$certificates/authority.pem"
export FILBERT_TLS=true FILBERT_TLS_TRUSTED="$certificates/authority.pem"
start_cell 1 1 1 || { tail -n 3 "$work"/*.log; exit 1; }
make_key desk; desk_token=$token desk_stored=$stored
make_key workshop; target_token=$token
write_cell "$work/cell.yaml" "$desk_stored" "$stored"
check "the configuration is applied over TLS" ctl apply "$work/cell.yaml"
run_target() { # FOLDER: starts the target with the certificate in this folder
    start_target 1 quote,die --key="$target_token" --tls_certificate="$1/t1.pem" \
        --tls_private_key="$1/t1.key" --gateway_trusted="$work/first.pem"
}
run_target "$certificates"
check "the target is ready over TLS" eventually 20 all_ready

quote() { FILBERT_KEY=$desk_token ctl call quote --body=lid; }
fails() { ! "$@"; }
check "a quote is answered" quote
check "a request without TLS fails" fails env FILBERT_TLS=false FILBERT_KEY="$desk_token" "$bin/filbertctl" \
    --gateways="$gateways_flag" call quote --body=lid
check "a request that trusts only another authority fails" fails env FILBERT_TLS_TRUSTED="$work/other/authority.pem" \
    FILBERT_KEY="$desk_token" "$bin/filbertctl" --gateways="$gateways_flag" call quote --body=lid

stop_gracefully t1
run_target "$work/other"
is_back() { [ "$(grep -c event=target_announced "$work/c1.log")" -ge 2 ] && all_ready; }
check "a target with a certificate of another authority announces itself" eventually 20 is_back
refused() { [[ $(FILBERT_KEY=$desk_token ctl call quote --body=foreign 2>&1) == *"(not_run)"* ]]; }
check "the target gets no work, and the caller is told that nothing ran" refused
check "nothing ran on the target" eval "! grep -q foreign $work/t1.starts"

check "private keys are accessible to their owner only" \
    [ "$(stat -c %a "$certificates/g1.key" "$certificates/authority.key" | sort -u)" = 600 ]
cp "$certificates/g1.pem" "$work/kept.pem"
echo "no certificate" >"$certificates/g1.pem"
has_failed() { grep -q event=certificate_reload_failed "$work/g1.log"; }
check "an invalid certificate is logged" eventually 15 has_failed
check "the previous certificate stays in use" ctl members list
cp "$work/other/g1.pem" "$certificates/g1.pem"
cp "$work/other/g1.key" "$certificates/g1.key"
new_works() { FILBERT_TLS_TRUSTED="$work/other/authority.pem" ctl members list; }
check "a new certificate is loaded without a restart" eventually 15 new_works
check "the old certificate is not used any more" fails ctl members list
for name in t1 g1 c1; do
    check "$name stops gracefully" stop_gracefully $name
done
echo "$failures failed"
[ $failures -eq 0 ]
