# Common settings of every target: warnings as errors and the include root.
add_library(tanagertally_options INTERFACE)
target_compile_options(tanagertally_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow=local -Wnon-virtual-dtor -Werror)
target_include_directories(tanagertally_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(tanagertally_options INTERFACE Threads::Threads Boost::headers)
target_link_options(tanagertally_options INTERFACE -fuse-ld=lld)
# Asio and Beast are used header-only; Outcome and MSM need no library.
target_compile_definitions(tanagertally_options INTERFACE BOOST_ERROR_CODE_HEADER_ONLY)

# tanagertally_library(NAME SOURCES ... LINK ...): a static library of one layer.
function(tanagertally_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC tanagertally_options ${ARG_LINK})
endfunction()

# tanagertally_test(NAME SOURCES ... LINK ...): the test program of one library, run by CTest.
function(tanagertally_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE tanagertally_options Boost::unit_test_framework ${ARG_LINK})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
