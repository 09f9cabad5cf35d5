# Debian packages that the build, the checks and the tests need; sourced by run-tests and run-demo.
TANAGERTALLY_PACKAGES="g++ cmake ninja-build ccache lld clang-format clang-tidy curl python3 \
libboost1.81-dev libboost-test1.81-dev libcli11-dev libspdlog-dev libfmt-dev libyaml-cpp-dev nlohmann-json3-dev \
libwebsocketpp-dev prometheus-cpp-dev librapidcheck-dev libxxhash-dev libssl-dev"

# Installs the packages that are missing, with sudo unless run as root.
install_packages() {
    local missing=""
    for package in $TANAGERTALLY_PACKAGES; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
    done
    [ -z "$missing" ] && return 0
    local as_root=""
    [ "$(id -u)" = 0 ] || as_root=sudo
    $as_root apt-get update -q
    DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y --no-install-recommends $missing
}
